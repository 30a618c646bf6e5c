package org.sageladder.core.event;

/** Receives events of this process. Implementations must neither block nor throw. */
@FunctionalInterface
public interface EventSink {
  /** Records one event; the sink adds the sequence number and the time. */
  void record(
      EventKind kind,
      String request,
      String contract,
      String subject,
      long revision,
      String detail);

  /** Returns a sink that discards all events. */
  static EventSink none() {
    return (kind, request, contract, subject, revision, detail) -> {};
  }
}
