package org.sageladder.tools.load;

/** Sends one request the way that a variant of the experiment does, and waits for its end. */
@FunctionalInterface
public interface Sender extends AutoCloseable {
  /** What became of the request; never fails, since every end is a result. */
  SendResult send(Arrival arrival);

  @Override
  default void close() {}

  /** What a sender saw, without the time. */
  record SendResult(RequestResult.Outcome outcome, String code, String target, int attempts) {}
}
