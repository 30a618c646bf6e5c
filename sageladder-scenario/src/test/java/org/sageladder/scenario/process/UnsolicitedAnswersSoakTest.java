package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.Deployment;

/**
 * Guards against real sockets on which pieces of second responses become a part of the next, or
 * malformed responses reach callers.
 */
class UnsolicitedAnswersSoakTest {
  private static final long TRAFFIC_MILLIS = 10_000;

  /** Settings and logs of a failed run are kept. */
  @TempDir(cleanup = org.junit.jupiter.api.io.CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void keepsAllRules() throws Exception {
    List<FaultSeries> series =
        List.of(
            FaultSeries.parse("answer-twice-in-pieces@0..10000/1500"),
            FaultSeries.parse("answer-twice-spoilt@500..10000/1500"),
            FaultSeries.parse("answer-twice-without-id@1000..10000/1500"),
            FaultSeries.parse("terminate-one@2000..10000/2000"));
    assertRulesHold(series);
  }

  @Test
  void keepsAllRulesBesideMalformedAnswers() throws Exception {
    List<FaultSeries> series =
        List.of(
            FaultSeries.parse("invalid-status@0..10000/1500"),
            FaultSeries.parse("invalid-header@500..10000/1500"),
            FaultSeries.parse("terminate-one@2000..10000/2000"));
    assertRulesHold(series);
  }

  private void assertRulesHold(List<FaultSeries> series) throws Exception {
    ProcessRun run = new ProcessRun(Deployment.archive(), 1, series, TRAFFIC_MILLIS, true);
    ProcessRun.Result result = run.play(EntryVmPrograms.ofThisBuild(), folder);
    assertEquals(List.of(), result.violations(), series + "\n" + result.summary());
  }
}
