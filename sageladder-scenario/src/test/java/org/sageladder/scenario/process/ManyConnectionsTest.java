package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.scenario.process.SmallEntryVm.Port;
import org.sageladder.standin.http.MisbehavingClients;
import org.sageladder.standin.http.MisbehavingClients.Reading;

/** Guards against callers whose connections use up the descriptors of the process. */
class ManyConnectionsTest {
  private static final int CLIENTS = 600;
  private static final int MAX_DESCRIPTORS = 400;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void processWithstandsMoreCallersThanDescriptors() throws Exception {
    assertWithstands(Port.CALLERS);
  }

  @Test
  void processWithstandsMoreLookUpsThanDescriptors() throws Exception {
    assertWithstands(Port.LOOK_UPS);
  }

  private void assertWithstands(Port port) throws Exception {
    try (SmallEntryVm vm =
            SmallEntryVm.start(SmallEntryVm.DEPLOYED_HEAP_MEGABYTES, MAX_DESCRIPTORS, folder);
        MisbehavingClients clients =
            MisbehavingClients.of(vm.address(port), CLIENTS, new byte[0], Reading.EVERYTHING)) {
      clients.play();
      vm.assertSound();
      int count = vm.openDescriptorCount();
      assertTrue(count < MAX_DESCRIPTORS, count + " descriptors");
    }
  }
}
