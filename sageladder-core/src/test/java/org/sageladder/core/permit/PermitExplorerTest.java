package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Every order of steps on one permit up to a depth, states seen before left out. */
class PermitExplorerTest {
  private static final int DEPTH = 12;

  /**
   * A collector bids once and wins the sheet twice. A copy of the bid waits in a slow entry VM
   * while the home stops, hands over, restarts, or its clock jumps; then the copy arrives and runs
   * although the permit had run, or the caller had been told "not run".
   */
  @Test
  void noSequenceOfStepsRunsPermitTwiceOrAfterNotRunAnswer() {
    Set<String> seen = new HashSet<>();
    List<List<PermitModel.Step>> frontier = List.of(List.of());
    for (int depth = 0; depth < DEPTH; depth++) {
      List<List<PermitModel.Step>> next = new ArrayList<>();
      for (List<PermitModel.Step> path : frontier) {
        for (PermitModel.Step step : PermitModel.Step.values()) {
          extend(path, step, seen, next);
        }
      }
      frontier = next;
    }
    System.out.println("permit states explored: " + seen.size() + " to depth " + DEPTH);
    assertTrue(seen.size() > 1_000, "only " + seen.size() + " states: the model has shrunk");
  }

  private static void extend(
      List<PermitModel.Step> path,
      PermitModel.Step step,
      Set<String> seen,
      List<List<PermitModel.Step>> next) {
    PermitModel model = new PermitModel();
    path.forEach(model::apply);
    if (!model.apply(step)) {
      return;
    }
    List<PermitModel.Step> longer = new ArrayList<>(path);
    longer.add(step);
    assertEquals("", model.violation().orElse(""), () -> "after " + longer);
    if (seen.add(model.toString())) {
      next.add(longer);
    }
  }
}
