package org.sageladder.bench.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against worker threads that end for lack of memory, by metrics that are not read. */
class DaemonUnreadMetricsTest {
  private static final int CLIENTS = 64;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void operatorsPortWithstandsUnreadMetrics() throws Exception {
    byte[] request =
        RequestBytes.of("GET /v1/metrics HTTP/1.1", "Host: e")
            .endOfHead()
            .repeated(2_000)
            .toByteArray();
    try (SmallDaemon daemon = SmallDaemon.start(folder)) {
      daemon.assertOperatorsPortWithstands(CLIENTS, request, Reading.NOTHING);
    }
  }
}
