package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by look-ups whose heads do not end. */
class UnfinishedLookUpsTest {
  private static final int CLIENTS = 256;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnfinishedLookUps() throws Exception {
    byte[] request =
        RequestBytes.of("GET /resolve?zone=z&region=r HTTP/1.1", "Host: h")
            .emptyHeaders(1_900)
            .toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.LOOK_UPS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
