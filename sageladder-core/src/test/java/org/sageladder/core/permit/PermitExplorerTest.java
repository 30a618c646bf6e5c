package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all sequences of steps on one permit up to a fixed depth, pruning states already
 * visited.
 */
class PermitExplorerTest {
  private static final int DEPTH = 12;

  /**
   * Guards against a second execution and against an execution after the caller was answered "not
   * run". A copy of the request is delayed while the issuer stops, hands over, restarts, or its
   * clock jumps, and arrives afterwards.
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
