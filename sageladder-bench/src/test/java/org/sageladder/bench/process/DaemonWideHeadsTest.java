package org.sageladder.bench.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against worker threads that end for lack of memory, by heads of many long lines. */
class DaemonWideHeadsTest {
  private static final int CLIENTS = 64;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void daemonWithstandsUnfinishedHeadsOfLongLines() throws Exception {
    byte[] request =
        RequestBytes.of(
                "GET " + SmallDaemon.ARCHIVE_LINE, "Host: e", "Sageladder-Deadline-Millis: 300000")
            .text(("a: " + "x".repeat(8_000) + "\r\n").repeat(95))
            .toByteArray();
    try (SmallDaemon daemon = SmallDaemon.start(folder)) {
      daemon.assertWithstands(CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
