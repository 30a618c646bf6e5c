package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.sageladder.core.contract.Contract;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.settings.SettingsException;

/**
 * Contracts with waits so long that none ends within a test: how a request ends is then decided by
 * what the test does alone, also on a machine that is slow or busy.
 */
final class LongTimeoutContract {
  /** Longest deadline and longest wait in a queue of each service. */
  static final Duration DEADLINE = Duration.ofMinutes(10);

  private LongTimeoutContract() {}

  /** The contract of Kalnins &amp; Dauge with longer waits. */
  static Contract kalninsDauge() throws IOException, SettingsException {
    String text = Files.readString(Path.of("..", "contracts", "kalnins-dauge.yaml"));
    String timeout = DEADLINE.toSeconds() + "s";
    String longTimeoutText =
        text.replaceAll("longestDeadline: .*", "longestDeadline: " + timeout)
            .replaceAll("queueWait: .*", "queueWait: " + timeout);
    return ContractYaml.parse("patient", longTimeoutText);
  }
}
