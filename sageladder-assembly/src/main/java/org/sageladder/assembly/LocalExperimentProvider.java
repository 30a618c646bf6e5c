package org.sageladder.assembly;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoreException;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.tools.load.SystemUnderTest;

/**
 * Starts the whole system in this process for {@code sageladder-load}; loaded by {@link
 * java.util.ServiceLoader}.
 */
public final class LocalExperimentProvider implements SystemUnderTest.Provider {
  private final EntryBuild build;

  /** Creates a provider that starts entry VMs of this build. */
  public LocalExperimentProvider() {
    this(EntryBuild.current());
  }

  private LocalExperimentProvider(EntryBuild build) {
    this.build = build;
  }

  @Override
  public SystemUnderTest.Provider ofBuild(Path directory) throws IOException {
    return new LocalExperimentProvider(OtherBuild.of(directory));
  }

  @Override
  public SystemUnderTest start(Contract contract, int entriesPerZone, Duration readyWithin)
      throws IOException, InterruptedException {
    StoreServer store = StoreServer.start("127.0.0.1", 0);
    try {
      LocalSystem system = LocalSystem.start(store, contract, entriesPerZone, build);
      system.awaitReady();
      return LocalExperiment.of(store, system);
    } catch (StoreException | SettingsException e) {
      store.close();
      throw new IOException("the system failed to start: " + e.getMessage(), e);
    }
  }
}
