package org.sageladder.tools.load;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.ApplyResult;
import org.sageladder.platform.contract.ContractWriter;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.store.HttpStore;

/** Changes a contract while an experiment runs, in the way an operator does. */
public final class ContractChange {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private ContractChange() {}

  /**
   * Extends the drain limit of every service by one second, a change that has no effect under load.
   *
   * @return the accepted revision, as text for the report
   * @throws IOException if the change was not accepted
   */
  public static String extendDrainLimit(URI store, String customer) throws IOException {
    try (Store client = HttpStore.connect(store, CALL_TIMEOUT)) {
      ContractWriter writer = ContractWriter.of(client, TimeSource.system(), "sageladder-load");
      StoredContract current = writer.read(customer);
      if (current == null) {
        throw new IOException("the store has no contract of customer " + customer);
      }
      Contract changed =
          current
              .contract()
              .atRevision(0)
              .withServices(service -> service.withDrainLimit(service.drainLimit().plusSeconds(1)));
      ApplyResult result = writer.apply(changed, current.contract().revision());
      if (result instanceof ApplyResult.Accepted accepted) {
        return "revision " + accepted.revision();
      }
      throw new IOException("the change was not accepted: " + result);
    } catch (StoreException e) {
      throw new IOException("the store cannot be read: " + e.getMessage(), e);
    }
  }
}
