package org.sageladder.core.limits;

import java.time.Duration;
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

  /**
   * Spends one retry of the service's budget; false where none is left and the request must end as
   * it is. Work that no target ran counts too: it also costs a target something to refuse.
   */
  default boolean tryAcquireRetry() {
    return true;
  }

  /** When a request that is refused now is worth sending again. */
  default Duration retryAfter() {
    return Duration.ofSeconds(1);
  }

  /** A wait that can be given up; cancelling after the decision has no effect. */
  @FunctionalInterface
  interface Cancellable {
    /** Gives the wait up; true where no decision will be delivered. */
    boolean cancel();
  }
}
