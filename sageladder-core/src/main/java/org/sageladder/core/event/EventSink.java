package org.sageladder.core.event;

/** Takes events of this process; must not block and must not throw. */
@FunctionalInterface
public interface EventSink {
  /** Records one event; the sink adds sequence and time. */
  void record(
      EventKind kind,
      String request,
      String contract,
      String subject,
      long revision,
      String detail);

  /** A sink that forgets everything. */
  static EventSink none() {
    return (kind, request, contract, subject, revision, detail) -> {};
  }
}
