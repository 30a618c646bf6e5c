package org.sageladder.forward.control;

import java.util.function.Consumer;

/** Fetches the store's changes from another entry VM. */
@FunctionalInterface
public interface PeerChangeSource {
  /**
   * Changes as the other VM returned them.
   *
   * @param page the changes that it has seen
   * @param stalenessMillis time since it was last known to have all changes of the store
   * @param hadRecentFailures true if its calls to the store failed recently
   */
  record Changes(StorePage page, long stalenessMillis, boolean hadRecentFailures) {
    /** True unless the VM has seen no change. */
    boolean hasAny() {
      return !page.items().isEmpty();
    }
  }

  /**
   * Fetches the changes after {@code revision} that the VM has seen. Results in {@code Gone} if its
   * history does not reach back that far, and in {@code Failed} if it does not read the store
   * directly.
   *
   * @param timeoutMillis how long the VM may be silent; a large response may take twice as long
   */
  void fetch(
      EntryVm peer, long revision, long timeoutMillis, Consumer<StoreResult<Changes>> callback);
}
