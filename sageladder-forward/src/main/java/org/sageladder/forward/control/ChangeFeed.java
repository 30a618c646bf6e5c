package org.sageladder.forward.control;

import java.util.function.Consumer;

/** Where changes of the store come from: the store itself, or another VM that follows it. */
public interface ChangeFeed {
  /**
   * Asks for changes after {@code revision}; answers with none where there were none for a while.
   */
  void next(long revision, Consumer<StoreAnswer<StorePage>> then);

  /**
   * Pause until the next question.
   *
   * @param anyChange true where the last answer had changes
   */
  long pauseMillis(boolean anyChange);

  /** True where the VM that answered last had trouble with the store lately. */
  boolean hadTrouble();

  /** Records whether the store answered another call. */
  void recordContact(boolean answered);
}
