package org.sageladder.bench.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/**
 * Guards against worker threads that end for lack of memory, by look-ups whose answers are not
 * read.
 */
class DaemonUnreadLookUpsTest {
  private static final int CLIENTS = 64;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void daemonWithstandsUnreadLookUps() throws Exception {
    byte[] request =
        RequestBytes.of(SmallDaemon.LOOK_UP_LINE, "Host: e")
            .endOfHead()
            .repeated(4_000)
            .toByteArray();
    try (SmallDaemon daemon = SmallDaemon.start(folder)) {
      daemon.assertWithstands(CLIENTS, request, Reading.NOTHING);
    }
  }
}
