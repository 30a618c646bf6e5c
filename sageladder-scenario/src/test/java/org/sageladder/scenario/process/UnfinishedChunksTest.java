package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by large chunks that lack their end. */
class UnfinishedChunksTest {
  private static final int CLIENTS = 400;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnfinishedChunks() throws Exception {
    byte[] request =
        RequestBytes.of(
                "POST /plain/1 HTTP/1.1",
                "Host: h",
                "Request-Id: m",
                "Request-Deadline: 30000",
                "Transfer-Encoding: chunked")
            .endOfHead()
            .text("fff0\r\n" + "x".repeat(65_519))
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.CALLERS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
