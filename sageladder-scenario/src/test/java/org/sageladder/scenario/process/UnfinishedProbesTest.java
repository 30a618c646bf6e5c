package org.sageladder.scenario.process;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients.Reading;
import org.sageladder.standin.http.RequestBytes;

/** Guards against a heap used up by readiness probes whose heads do not end. */
class UnfinishedProbesTest {
  private static final int CLIENTS = 256;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsUnfinishedProbes() throws Exception {
    byte[] request =
        RequestBytes.of("GET /readiness HTTP/1.1", "Host: h").emptyHeaders(1_900).toByteArray();
    try (SmallEntryVm vm = SmallEntryVm.start(folder)) {
      vm.assertWithstands(Port.READINESS, CLIENTS, request, Reading.EVERYTHING);
    }
  }
}
