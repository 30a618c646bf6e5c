package org.sageladder.forward.control;

import java.util.function.Consumer;

/** Asks another entry VM for the store's changes. */
@FunctionalInterface
public interface PeerChangeSource {
  /**
   * What the other VM answers.
   *
   * @param page the changes that it has seen
   * @param contactAgeMillis time since the store last answered it
   * @param hadRecentFailures true where it had trouble with the store lately
   */
  record Changes(StorePage page, long contactAgeMillis, boolean hadRecentFailures) {}

  /**
   * Fetches what the VM has seen after {@code revision}; {@code Gone} where it does not remember so
   * far back, {@code Failed} where it does not read the store itself.
   */
  void fetch(EntryVm peer, long revision, long millis, Consumer<StoreResult<Changes>> then);
}
