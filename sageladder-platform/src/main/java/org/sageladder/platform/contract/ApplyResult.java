package org.sageladder.platform.contract;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.ContractCheck;
import org.sageladder.platform.contract.ContractDiff.Difference;

/** How an attempt to change a contract ended. */
public sealed interface ApplyResult {
  /** The change was accepted at {@code revision} and changed {@code differences}. */
  record Accepted(long revision, List<Difference> differences) implements ApplyResult {}

  /** The contract in the store is alike already; nothing was written. */
  record Unchanged(long revision) implements ApplyResult {}

  /** The contract's limits do not fit together; nothing was written. */
  record Rejected(List<ContractCheck.Problem> problems) implements ApplyResult {}

  /**
   * Another change came first; nothing was written.
   *
   * @param current the contract that stands, null where it was deleted
   * @param differences what this change would have made of the contract that stands
   * @param conflictingKeys keys that both sides changed, as far as the history reaches back
   */
  record Conflict(
      @Nullable StoredContract current, List<Difference> differences, List<String> conflictingKeys)
      implements ApplyResult {}

  /** No answer came, nor could it be read back: the change may or may not stand. */
  record OutcomeUnknown(String changeId, String reason) implements ApplyResult {}

  /** The store refused or was out of reach before anything was sent; nothing was written. */
  record Unavailable(String reason) implements ApplyResult {}
}
