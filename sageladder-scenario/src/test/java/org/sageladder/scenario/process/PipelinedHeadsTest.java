package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by pipelined requests with large heads that wait for targets. */
class PipelinedHeadsTest {
  private static final int CLIENTS = 48;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsPipelinedHeads() throws Exception {
    byte[] request =
        RequestBytes.of(
                "GET /slow/1 HTTP/1.1", "Host: h", "Request-Id: m", "Request-Deadline: 30000")
            .emptyHeaders(3_900)
            .endOfHead()
            .repeated(16)
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.CALLERS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
