package org.sageladder.platform.contract;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.ContractCheck;
import org.sageladder.platform.contract.ContractDiff.Difference;

/** Result of an attempt to change a contract. */
public sealed interface ApplyResult {
  /** The change was accepted at {@code revision}; {@code differences} are the changed values. */
  record Accepted(long revision, List<Difference> differences) implements ApplyResult {}

  /** The contract in the store is already equal; nothing was written. */
  record Unchanged(long revision) implements ApplyResult {}

  /** The contract's limits are inconsistent; nothing was written. */
  record Rejected(List<ContractCheck.Problem> problems) implements ApplyResult {}

  /**
   * Another change came first; nothing was written.
   *
   * @param current the contract in the store, null if it was deleted
   * @param differences differences between the contract in the store and the rejected one
   * @param conflictingKeys keys that both changes modified, as far as the history reaches back
   */
  record Conflict(
      @Nullable StoredContract current, List<Difference> differences, List<String> conflictingKeys)
      implements ApplyResult {}

  /**
   * No response arrived, and the outcome could not be read back: the change may or may not have
   * taken effect.
   */
  record OutcomeUnknown(String changeId, String reason) implements ApplyResult {}

  /**
   * The store refused the write or was unreachable before anything was sent; nothing was written.
   */
  record Unavailable(String reason) implements ApplyResult {}
}
