package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by metrics requested without reading them. */
class UnreadMetricsTest {
  private static final int CLIENTS = 48;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnreadMetrics() throws Exception {
    byte[] request =
        RequestBytes.of("GET /metrics HTTP/1.1", "Host: h")
            .endOfHead()
            .repeated(2_000)
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.METRICS, CLIENTS, request, Reading.NOTHING);
    }
  }
}
