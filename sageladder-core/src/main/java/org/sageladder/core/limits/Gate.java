package org.sageladder.core.limits;

import java.util.function.Consumer;

/**
 * The one place that lets work onto the targets of one service that this entry VM holds.
 *
 * <pre>{@code
 * Cancellable wait = gate.request(new AdmissionRequest("r-17", deadlineNanos, "", ""), admission -> {
 *   switch (admission) { ... }
 * });
 * }</pre>
 */
public interface Gate {
  /**
   * Asks for a slot. {@code whenDecided} is called exactly once, at once or later, from any thread
   * and without a lock held, unless the wait is cancelled first.
   */
  Cancellable request(AdmissionRequest request, Consumer<Admission> whenDecided);

  /** A wait that can be given up; cancelling after the decision has no effect. */
  @FunctionalInterface
  interface Cancellable {
    /** Gives the wait up; true where no decision will be delivered. */
    boolean cancel();
  }
}
