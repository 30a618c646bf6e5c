package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by bodies that stop just short of their end. */
class UnfinishedBodiesTest {
  private static final int CLIENTS = 400;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnfinishedBodies() throws Exception {
    byte[] request =
        RequestBytes.of(
                "POST /plain/1 HTTP/1.1",
                "Host: h",
                "Request-Id: m",
                "Request-Deadline: 30000",
                "Content-Length: 65000")
            .endOfHead()
            .text("x".repeat(64_990))
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.CALLERS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
