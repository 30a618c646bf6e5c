package org.sageladder.standin.network;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One direction of a connection: what was sent arrives in order, after the way's delay.
 *
 * <p>What arrives at a cut is sent again by the kernel, after pauses that double, until it passes;
 * after a long cut it arrives up to as long again later. Only a reset ends that.
 */
final class Pipe {
  /** What travels: bytes, the connection's orderly end, or its reset. */
  sealed interface Segment {
    /** Bytes; the receiver releases them. */
    record Bytes(ByteBuf bytes) implements Segment {}

    /** Nothing more comes. */
    record End() implements Segment {}

    /** The connection is gone. */
    record Reset() implements Segment {}
  }

  /** Pause of a kernel before it sends a lost packet again the first time. */
  private static final long INITIAL_RETRANSMIT_NANOS = 200_000_000;

  private record InFlightSegment(long arrivalNanos, Segment segment) {}

  private final SimulatedNetwork network;
  private final SimulatedHost from;
  private final SimulatedHost to;
  private final Deque<InFlightSegment> inFlight = new ArrayDeque<>();
  private @Nullable SimulatedChannel receiver;
  private long lastArrivalNanos;
  private boolean isBlackholed;
  private boolean isReset;
  private long retransmitNanos = INITIAL_RETRANSMIT_NANOS;
  private long retransmitAtNanos;

  Pipe(SimulatedNetwork network, SimulatedHost from, SimulatedHost to) {
    this.network = network;
    this.from = from;
    this.to = to;
  }

  SimulatedHost from() {
    return from;
  }

  SimulatedHost to() {
    return to;
  }

  void setReceiver(SimulatedChannel channel) {
    receiver = channel;
  }

  /** Loses whatever is sent from now on, and tells nobody. */
  void blackhole() {
    isBlackholed = true;
  }

  boolean isBlocked() {
    return isBlackholed || !to.isPowered() || !network.isReachable(from, to);
  }

  void send(Segment parcel) {
    lastArrivalNanos = Math.max(lastArrivalNanos, network.arrivalNanos(from, to));
    inFlight.addLast(new InFlightSegment(lastArrivalNanos, parcel));
    network.scheduleAt(lastArrivalNanos, this::deliverDue);
  }

  /** Ends the connection: what is on its way arrives, what was lost is not sent again. */
  void reset() {
    isReset = true;
    send(new Segment.Reset());
    if (network.nowNanos() < retransmitAtNanos) {
      dropInFlight();
    }
  }

  private void dropInFlight() {
    inFlight.forEach(lost -> release(lost.segment()));
    inFlight.clear();
  }

  /** Hands over what is due. */
  private void deliverDue() {
    if (network.nowNanos() < retransmitAtNanos) {
      return;
    }
    while (!inFlight.isEmpty() && inFlight.peekFirst().arrivalNanos() <= network.nowNanos()) {
      if (!isBlackholed && to.isPowered() && !network.isReachable(from, to)) {
        onLoss();
        return;
      }
      retransmitNanos = INITIAL_RETRANSMIT_NANOS;
      Segment parcel = inFlight.removeFirst().segment();
      SimulatedChannel known = receiver;
      if (isBlackholed || known == null || !to.isPowered()) {
        release(parcel);
      } else {
        known.host().execute(() -> known.receive(parcel));
      }
    }
  }

  private void onLoss() {
    if (isReset) {
      dropInFlight();
      return;
    }
    retransmitAtNanos = network.nowNanos() + retransmitNanos;
    retransmitNanos *= 2;
    network.scheduleAt(retransmitAtNanos, this::deliverDue);
  }

  static void release(Segment parcel) {
    if (parcel instanceof Segment.Bytes bytes) {
      bytes.bytes().release();
    }
  }
}
