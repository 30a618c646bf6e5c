package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by the objects of very many short header lines. */
class EmptyHeadersTest {
  private static final int CLIENTS = 64;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsHeadsOfShortLines() throws Exception {
    byte[] request =
        RequestBytes.of(
                "POST /plain/1 HTTP/1.1",
                "Host: h",
                "Request-Id: m",
                "Request-Deadline: 30000",
                "Transfer-Encoding: chunked")
            .emptyHeaders(3_900)
            .endOfHead()
            .chunks(1, 1, "")
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.CALLERS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
