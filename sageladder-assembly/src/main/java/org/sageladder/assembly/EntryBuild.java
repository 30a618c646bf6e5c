package org.sageladder.assembly;

import java.io.IOException;
import org.sageladder.entry.EntryDaemon;
import org.sageladder.entry.settings.EntrySettings;
import org.sageladder.platform.settings.SettingsException;

/** A build whose entry daemons can be started in this process. */
@FunctionalInterface
public interface EntryBuild {
  /**
   * Starts a daemon.
   *
   * @param name name of the settings in error messages
   * @param settingsYaml settings of the daemon
   */
  EntryVm start(String name, String settingsYaml)
      throws IOException, InterruptedException, SettingsException;

  /** The build of this process. */
  static EntryBuild current() {
    return (name, yaml) -> new CurrentBuildVm(EntryDaemon.start(EntrySettings.parse(name, yaml)));
  }

  /** A daemon of the build of this process. */
  record CurrentBuildVm(EntryDaemon daemon) implements EntryVm {
    @Override
    public int callersPort() {
      return daemon.callersPort();
    }

    @Override
    public int innerPort() {
      return daemon.innerPort();
    }

    @Override
    public int operatorsPort() {
      return daemon.operatorsPort();
    }

    @Override
    public boolean isServing(int members) {
      return daemon.isServing(members);
    }

    @Override
    public void stop() throws InterruptedException {
      var unused = daemon.stop();
    }

    @Override
    public void close() {
      daemon.close();
    }
  }
}
