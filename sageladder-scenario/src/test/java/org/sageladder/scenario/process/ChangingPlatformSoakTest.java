package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.scenario.Deployment;

/** Guards against entry VMs that no longer learn what the platform changes. */
class ChangingPlatformSoakTest {
  private static final long TRAFFIC_MILLIS = 20_000;

  /** Settings and logs of a failed run are kept. */
  @TempDir(cleanup = org.junit.jupiter.api.io.CleanupMode.ON_SUCCESS)
  private Path folder;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "write-foreign-entry@2000..14000/1000",
        "write-long-entries@2000..14000/3000",
        "drop-watches@2000..14000/3000"
      })
  void allVmsKnowTheNewestState(String fault) throws Exception {
    List<FaultSeries> series =
        List.of(
            FaultSeries.parse(fault),
            FaultSeries.parse("change-routes@1000..18000/2500"),
            FaultSeries.parse("replace-target@1000..18000/2000"));
    ProcessRun run = new ProcessRun(Deployment.archive(), 1, series, TRAFFIC_MILLIS, true);
    ProcessRun.Result result = run.play(EntryVmPrograms.ofThisBuild(), folder);
    assertEquals(List.of(), result.violations(), series + "\n" + result.summary());
  }
}
