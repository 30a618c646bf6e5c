package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by look-ups pipelined without reading their answers. */
class UnreadLookUpsTest {
  private static final int CLIENTS = 64;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnreadLookUps() throws Exception {
    byte[] request =
        RequestBytes.of("GET /resolve?zone=z&region=r HTTP/1.1", "Host: h")
            .endOfHead()
            .repeated(4_000)
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.LOOK_UPS, CLIENTS, request, Reading.NOTHING);
    }
  }
}
