package org.sageladder.core.store;

import org.jspecify.annotations.Nullable;

/** The outcome of a conditional write. */
public sealed interface WriteResult {
  /** The write took effect at {@code revision}. */
  record Written(long revision) implements WriteResult {}

  /**
   * Another write came first; {@code current} is the present value, or null if the key was deleted.
   */
  record Conflict(@Nullable StoredValue current) implements WriteResult {}
}
