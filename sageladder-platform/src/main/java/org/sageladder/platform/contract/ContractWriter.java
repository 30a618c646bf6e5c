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
  /** Tries to learn how a write without an answer ended. */
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

  /** A writer whose change ids are random. */
  public static ContractWriter of(Store store, TimeSource time, String author) {
    return of(store, time, author, () -> UUID.randomUUID().toString());
  }

  /** A writer with its own source of change ids, each of which must be unique. */
  public static ContractWriter of(
      Store store, TimeSource time, String author, Supplier<String> changeIds) {
    return new ContractWriter(store, time, author, changeIds);
  }

  /**
   * Accepts {@code contract} if the one in the store still has {@code baseRevision}; 0 means that
   * there must be none yet.
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

  /** The stored contract of that customer, or null where there is none. */
  public @Nullable StoredContract read(String customer) throws StoreException {
    Optional<StoredValue> stored = store.read(StoredContract.keyOf(customer));
    return stored.isEmpty() ? null : decode(stored.get());
  }

  /**
   * Writes until an answer comes. A store may carry out a write whose answer is lost, at once or
   * late; sending the same change again is safe, because it expects the same revision, so at most
   * one copy takes effect, and the other's conflict shows this change id as current or in the
   * history.
   */
  private ApplyResult write(StoredContract change, long baseRevision, List<Difference> differences)
      throws StoreException {
    String key = StoredContract.keyOf(change.contract().customer());
    byte[] value = change.toBytes();
    String reason = "";
    boolean sentBefore = false;
    for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      try {
        WriteResult result = store.compareAndSet(key, baseRevision, value, null);
        if (result instanceof WriteResult.Written written) {
          return new ApplyResult.Accepted(written.revision(), differences);
        }
        StoredValue current = ((WriteResult.Conflict) result).current();
        return resolveConflict(change, current, baseRevision, differences);
      } catch (StoreException.OutcomeUnknown e) {
        sentBefore = true;
        reason = e.getMessage();
      } catch (StoreException.Unavailable e) {
        if (!sentBefore) {
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
    StoredContract standing = decode(current);
    if (standing.changeId().equals(change.changeId())) {
      return new ApplyResult.Accepted(current.revision(), differences);
    }
    for (Change earlier : standing.history()) {
      if (earlier.changeId().equals(change.changeId())) {
        return new ApplyResult.Accepted(earlier.revision(), differences);
      }
    }
    return conflict(standing, change.contract(), baseRevision);
  }

  private static ApplyResult conflict(
      @Nullable StoredContract current, Contract wanted, long baseRevision) {
    if (current == null) {
      return new ApplyResult.Conflict(null, List.of(), List.of());
    }
    List<Difference> differences = ContractDiff.between(current.contract(), wanted);
    List<String> changedThere = new ArrayList<>();
    for (Change change : current.history()) {
      if (change.revision() > baseRevision) {
        changedThere.addAll(change.fields());
      }
    }
    List<String> conflicting =
        differences.stream().map(Difference::key).filter(changedThere::contains).toList();
    return new ApplyResult.Conflict(current, differences, conflicting);
  }

  private StoredContract nextVersion(
      @Nullable StoredContract current, Contract contract, List<Difference> differences) {
    String changeId = changeIds.get();
    List<String> fields = differences.stream().map(Difference::key).toList();
    List<Change> history = new ArrayList<>();
    history.add(new Change(0, changeId, author, time.wallMillis(), fields));
    if (current != null) {
      int kept = Math.min(current.history().size(), StoredContract.MAX_HISTORY_LENGTH - 1);
      history.addAll(current.history().subList(0, kept));
    }
    return new StoredContract(changeId, author, contract, history);
  }

  private static List<Difference> differences(@Nullable StoredContract current, Contract wanted) {
    return current == null ? List.of() : ContractDiff.between(current.contract(), wanted);
  }

  private static StoredContract decode(StoredValue value) {
    try {
      return StoredContract.fromStored(value);
    } catch (SettingsException e) {
      throw new IllegalStateException("the store holds what is no contract: " + e.getMessage(), e);
    }
  }
}
