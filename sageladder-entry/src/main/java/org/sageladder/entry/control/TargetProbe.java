package org.sageladder.entry.control;

import java.util.function.Consumer;
import org.sageladder.core.membership.Holding;

/** Finds out whether a target of a silent zone can be reached and works for nobody. */
@FunctionalInterface
public interface TargetProbe {
  /**
   * Asks {@code target}; returns at once.
   *
   * @param onAnswer told true where the target answered that none of its slots is busy; never told
   *     where it gives no answer
   */
  void probe(Holding target, Consumer<Boolean> onAnswer);
}
