package org.sageladder.core.store;

import org.jspecify.annotations.Nullable;

/** How a conditional write ended. */
public sealed interface WriteResult {
  /** The write took effect at {@code revision}. */
  record Written(long revision) implements WriteResult {}

  /** Another write came first; {@code current} is what stands now, null where the key is gone. */
  record Conflict(@Nullable StoredValue current) implements WriteResult {}
}
