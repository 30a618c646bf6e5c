package org.sageladder.entry.control;

import java.util.function.Consumer;
import org.sageladder.core.membership.Holding;

/** Checks whether a target of a silent zone is reachable and idle. */
@FunctionalInterface
public interface TargetProbe {
  /**
   * Sends a probe to the target of {@code holding}; returns at once.
   *
   * @param onAnswer receives whether the target is idle, that is, has no busy slot and is not
   *     draining; not called if the target does not answer
   */
  void probe(Holding holding, Consumer<Boolean> onAnswer);
}
