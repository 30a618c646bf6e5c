package org.sageladder.assembly;

import java.io.IOException;
import org.sageladder.entry.EntryDaemon;
import org.sageladder.entry.settings.EntrySettings;
import org.sageladder.platform.settings.SettingsException;

/** Starts entry daemons of one build. */
@FunctionalInterface
public interface EntryBuild {
  /**
   * Starts a daemon.
   *
   * @param name names the settings in errors
   * @param settingsYaml its settings
   */
  EntryVm start(String name, String settingsYaml)
      throws IOException, InterruptedException, SettingsException;

  /** The build that runs here. */
  static EntryBuild current() {
    return (name, yaml) -> new CurrentBuildVm(EntryDaemon.start(EntrySettings.parse(name, yaml)));
  }

  /** A daemon of the build that runs here. */
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
