package org.sageladder.core.limits;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Admits requests to the targets of one service that this entry VM holds; nothing else does.
 *
 * <pre>{@code
 * Cancellable wait = gate.request(new AdmissionRequest("r-17", deadlineNanos, "", ""), admission -> {
 *   switch (admission) { ... }
 * });
 * }</pre>
 */
public interface Gate {
  /**
   * Asks for a slot. {@code onDecision} is called exactly once, immediately or later, from any
   * thread and without a lock held, unless the wait is cancelled first.
   */
  Cancellable request(AdmissionRequest request, Consumer<Admission> onDecision);

  /**
   * Takes one retry from the service's retry budget. If it returns false, the budget is used up and
   * the request must end with the result it has. A request that no target ran needs budget too,
   * since refusing it also costs a target work.
   */
  default boolean tryAcquireRetry() {
    return true;
  }

  /** Time after which a request that is refused now is worth sending again. */
  default Duration retryAfter() {
    return Duration.ofSeconds(1);
  }

  /** A wait that can be cancelled; cancelling after the decision has no effect. */
  @FunctionalInterface
  interface Cancellable {
    /** Cancels the wait; true if no decision will be delivered. */
    boolean cancel();
  }
}
