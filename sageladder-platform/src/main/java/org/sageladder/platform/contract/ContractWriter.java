package org.sageladder.platform.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.ContractCheck;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.ContractDiff.Difference;
import org.sageladder.platform.contract.StoredContract.Change;
import org.sageladder.platform.settings.SettingsException;

/**
 * Changes contracts in the platform's store by compare-and-swap.
 *
 * <pre>{@code
 * ContractWriter writer = ContractWriter.of(store, TimeSource.system(), "maie");
 * ApplyResult result = writer.apply(contract, 41);
 * }</pre>
 */
public final class ContractWriter {
  /** Maximum number of times that a write is sent until its outcome is known. */
  private static final int MAX_WRITE_ATTEMPTS = 5;

  private final Store store;
  private final TimeSource time;
  private final String author;
  private final Supplier<String> changeIds;

  private ContractWriter(Store store, TimeSource time, String author, Supplier<String> changeIds) {
    this.store = store;
    this.time = time;
    this.author = author;
    this.changeIds = changeIds;
  }

  /** Creates a writer with random change ids. */
  public static ContractWriter of(Store store, TimeSource time, String author) {
    return of(store, time, author, () -> UUID.randomUUID().toString());
  }

  /** Creates a writer with a supplier of change ids, each of which must be unique. */
  public static ContractWriter of(
      Store store, TimeSource time, String author, Supplier<String> changeIds) {
    return new ContractWriter(store, time, author, changeIds);
  }

  /**
   * Writes {@code contract} if the one in the store still has {@code baseRevision}; 0 means that
   * none may exist yet.
   */
  public ApplyResult apply(Contract contract, long baseRevision) {
    List<ContractCheck.Problem> problems = ContractCheck.problems(contract);
    if (!problems.isEmpty()) {
      return new ApplyResult.Rejected(problems);
    }
    try {
      StoredContract current = read(contract.customer());
      long revision = current == null ? 0 : current.contract().revision();
      if (revision != baseRevision) {
        return conflict(current, contract, baseRevision);
      }
      List<Difference> differences = differences(current, contract);
      if (current != null && differences.isEmpty()) {
        return new ApplyResult.Unchanged(revision);
      }
      return write(nextVersion(current, contract, differences), baseRevision, differences);
    } catch (StoreException e) {
      return new ApplyResult.Unavailable(e.getMessage());
    }
  }

  /** Returns the stored contract of the customer, or null if there is none. */
  public @Nullable StoredContract read(String customer) throws StoreException {
    Optional<StoredValue> stored = store.read(StoredContract.keyOf(customer));
    return stored.isEmpty() ? null : decode(stored.get());
  }

  /**
   * Sends a write until a response arrives. The store may apply a write whose response is lost,
   * immediately or later. Sending the same change again is safe: it expects the same revision, so
   * at most one copy takes effect, and the conflict of any other copy shows this change id as
   * current or in the history.
   */
  private ApplyResult write(StoredContract change, long baseRevision, List<Difference> differences)
      throws StoreException {
    String key = StoredContract.keyOf(change.contract().customer());
    byte[] value = change.toBytes();
    String reason = "";
    boolean mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      try {
        WriteResult result = store.compareAndSet(key, baseRevision, value, null);
        if (result instanceof WriteResult.Written written) {
          return new ApplyResult.Accepted(written.revision(), differences);
        }
        StoredValue current = ((WriteResult.Conflict) result).current();
        return resolveConflict(change, current, baseRevision, differences);
      } catch (StoreException.OutcomeUnknown e) {
        mayHaveTakenEffect = true;
        reason = e.getMessage();
      } catch (StoreException.Unavailable e) {
        if (!mayHaveTakenEffect) {
          throw e;
        }
        reason = e.getMessage();
      }
    }
    return new ApplyResult.OutcomeUnknown(change.changeId(), reason);
  }

  private ApplyResult resolveConflict(
      StoredContract change,
      @Nullable StoredValue current,
      long baseRevision,
      List<Difference> differences) {
    if (current == null) {
      return new ApplyResult.Conflict(null, List.of(), List.of());
    }
    StoredContract stored = decode(current);
    if (stored.changeId().equals(change.changeId())) {
      return new ApplyResult.Accepted(current.revision(), differences);
    }
    for (Change earlier : stored.history()) {
      if (earlier.changeId().equals(change.changeId())) {
        return new ApplyResult.Accepted(earlier.revision(), differences);
      }
    }
    return conflict(stored, change.contract(), baseRevision);
  }

  private static ApplyResult conflict(
      @Nullable StoredContract current, Contract requested, long baseRevision) {
    if (current == null) {
      return new ApplyResult.Conflict(null, List.of(), List.of());
    }
    List<Difference> differences = ContractDiff.between(current.contract(), requested);
    List<String> changedKeys = new ArrayList<>();
    for (Change change : current.history()) {
      if (change.revision() > baseRevision) {
        changedKeys.addAll(change.fields());
      }
    }
    List<String> conflicting =
        differences.stream().map(Difference::key).filter(changedKeys::contains).toList();
    return new ApplyResult.Conflict(current, differences, conflicting);
  }

  private StoredContract nextVersion(
      @Nullable StoredContract current, Contract contract, List<Difference> differences) {
    String changeId = changeIds.get();
    List<String> fields = differences.stream().map(Difference::key).toList();
    List<Change> history = new ArrayList<>();
    history.add(new Change(0, changeId, author, time.wallMillis(), fields));
    if (current != null) {
      int keptCount = Math.min(current.history().size(), StoredContract.MAX_HISTORY_LENGTH - 1);
      history.addAll(current.history().subList(0, keptCount));
    }
    return new StoredContract(changeId, author, contract, history);
  }

  private static List<Difference> differences(
      @Nullable StoredContract current, Contract requested) {
    return current == null ? List.of() : ContractDiff.between(current.contract(), requested);
  }

  private static StoredContract decode(StoredValue value) {
    try {
      return StoredContract.fromStored(value);
    } catch (SettingsException e) {
      throw new IllegalStateException("the store has a malformed contract: " + e.getMessage(), e);
    }
  }
}
