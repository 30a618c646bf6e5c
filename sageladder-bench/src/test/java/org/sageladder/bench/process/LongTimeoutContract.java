package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.sageladder.core.contract.Contract;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.settings.SettingsException;

/**
 * Contracts with timeouts so long that none expires during a test, so that the outcome of a request
 * depends only on the test, even on a slow or busy machine.
 */
final class LongTimeoutContract {
  /** Longest deadline and longest queue wait of each service. */
  static final Duration DEADLINE = Duration.ofMinutes(10);

  private LongTimeoutContract() {}

  /** The contract of Kalnins &amp; Dauge with long timeouts. */
  static Contract kalninsDauge() throws IOException, SettingsException {
    String text = Files.readString(Path.of("..", "contracts", "kalnins-dauge.yaml"));
    String timeout = DEADLINE.toSeconds() + "s";
    String longTimeoutText =
        text.replaceAll("longestDeadline: .*", "longestDeadline: " + timeout)
            .replaceAll("queueWait: .*", "queueWait: " + timeout);
    return ContractYaml.parse("patient", longTimeoutText);
  }
}
