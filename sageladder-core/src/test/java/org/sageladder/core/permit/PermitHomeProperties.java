package org.sageladder.core.permit;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Random sequences of steps, longer than the depth of {@link PermitExplorerTest}. */
class PermitHomeProperties {
  @Property(tries = 5_000, seed = "20261202")
  void permitRunsAtMostOnceInLongStepSequences(
      @ForAll @Size(min = 10, max = 60) List<PermitModel.Step> steps) {
    PermitModel model = new PermitModel();
    List<PermitModel.Step> taken = new ArrayList<>();
    for (PermitModel.Step step : steps) {
      taken.add(step);
      model.apply(step);
      model.violation().ifPresent(reason -> fail(reason, taken));
    }
  }

  /** Each permit has its own state and answer, independent of the others. */
  @Property(tries = 300, seed = "20261203")
  void permitsOfOneIssuerAreIndependent(@ForAll @Size(max = 400) List<Boolean> isAnswered) {
    PermitHome issuer = PermitHome.of("a", 1, PermitHome.Limits.standard());
    List<Permit> permits = new ArrayList<>();
    for (int i = 0; i < isAnswered.size(); i++) {
      Permit permit = issuer.mint("kannelkoda", "donations", 1_000 + i * 100L).orElseThrow();
      permits.add(permit);
      Decision.Execute execute =
          (Decision.Execute) issuer.beginExecution(permit, "r" + i, 1_000 + i * 100L);
      if (isAnswered.get(i)) {
        execute
            .execution()
            .recordAnswer(RecordedAnswer.complete(200, List.of(), new byte[] {(byte) i}));
      } else {
        execute.execution().recordNotRun();
      }
    }
    for (int i = 0; i < isAnswered.size(); i++) {
      Decision again = issuer.beginExecution(permits.get(i), "r" + i, 50_000);
      boolean isExpected =
          isAnswered.get(i)
              ? again instanceof Decision.Replay replay && replay.answer().body()[0] == (byte) i
              : again instanceof Decision.NotRun;
      if (!isExpected) {
        fail("permit " + i + " got " + again, List.of());
      }
    }
  }

  private static void fail(String reason, List<PermitModel.Step> steps) {
    throw new AssertionError(reason + " after " + steps);
  }
}
