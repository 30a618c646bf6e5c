package org.sageladder.tools.load;

/** Sends one request as a variant of the experiment does, and waits for its result. */
@FunctionalInterface
public interface Sender extends AutoCloseable {
  /** Returns the result of the request. Does not throw: failures are results too. */
  SendResult send(Arrival arrival);

  @Override
  default void close() {}

  /** The result that a sender saw, without the latency. */
  record SendResult(RequestResult.Outcome outcome, String code, String target, int attempts) {}
}
