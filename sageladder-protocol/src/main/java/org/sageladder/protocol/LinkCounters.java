package org.sageladder.protocol;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.sageladder.protocol.ProtocolException.Reason;

/** Traffic counters over all links of this process since its start; thread-safe. */
public final class LinkCounters {
  private final LongAdder bytesIn = new LongAdder();
  private final LongAdder bytesOut = new LongAdder();
  private final LongAdder framesIn = new LongAdder();
  private final LongAdder framesOut = new LongAdder();
  private final LongAdder unsentMessages = new LongAdder();
  private final Map<Reason, LongAdder> dropsByReason = new EnumMap<>(Reason.class);

  LinkCounters() {
    for (Reason reason : Reason.values()) {
      dropsByReason.put(reason, new LongAdder());
    }
  }

  void countReceived(int bytes) {
    framesIn.increment();
    bytesIn.add(bytes);
  }

  void countSent(int bytes) {
    framesOut.increment();
    bytesOut.add(bytes);
  }

  void countUnsent() {
    unsentMessages.increment();
  }

  void countDrop(Reason reason) {
    LongAdder adder = dropsByReason.get(reason);
    if (adder != null) {
      adder.increment();
    }
  }

  /** Bytes received, including frame lengths and MACs but not TCP and IP headers. */
  public long bytesIn() {
    return bytesIn.sum();
  }

  /** Bytes sent, counted like {@link #bytesIn}. */
  public long bytesOut() {
    return bytesOut.sum();
  }

  /** Frames received. */
  public long framesIn() {
    return framesIn.sum();
  }

  /** Frames sent. */
  public long framesOut() {
    return framesOut.sum();
  }

  /**
   * Messages that were not sent because the peer's address was unknown, connecting to it had just
   * failed, or its buffer or queue was full.
   */
  public long unsentMessages() {
    return unsentMessages.sum();
  }

  /** Number of connections dropped for {@code reason}. */
  public long dropCount(Reason reason) {
    LongAdder adder = dropsByReason.get(reason);
    return adder == null ? 0 : adder.sum();
  }
}
