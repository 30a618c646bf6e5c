package org.sageladder.standin.network;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One direction of a connection: segments arrive in order after the one-way delay.
 *
 * <p>Segments lost to a network partition are retransmitted with exponential backoff, as a kernel
 * does, so after a long partition they may arrive late by up to its length. Only a reset stops the
 * retransmission.
 */
final class Pipe {
  /** A segment: bytes, the orderly close of the connection, or its reset. */
  sealed interface Segment {
    /** Bytes; the receiver releases them. */
    record Bytes(ByteBuf bytes) implements Segment {}

    /** The sender has closed the connection; no more bytes follow. */
    record End() implements Segment {}

    /** The sender has reset the connection. */
    record Reset() implements Segment {}
  }

  /** Initial retransmission timeout of a kernel. */
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

  /** Silently loses everything that is sent from now on. */
  void blackhole() {
    isBlackholed = true;
  }

  boolean isBlocked() {
    return isBlackholed || !to.isPowered() || !network.isReachable(from, to);
  }

  void send(Segment segment) {
    lastArrivalNanos = Math.max(lastArrivalNanos, network.arrivalNanos(from, to));
    inFlight.addLast(new InFlightSegment(lastArrivalNanos, segment));
    network.scheduleAt(lastArrivalNanos, this::deliverDue);
  }

  /** Resets the connection: segments in flight arrive, lost ones are not retransmitted. */
  void reset() {
    isReset = true;
    send(new Segment.Reset());
    if (network.nowNanos() < retransmitAtNanos) {
      dropInFlight();
    }
  }

  private void dropInFlight() {
    inFlight.forEach(each -> release(each.segment()));
    inFlight.clear();
  }

  /** Delivers the segments that are due. */
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
      Segment segment = inFlight.removeFirst().segment();
      SimulatedChannel channel = receiver;
      if (isBlackholed || channel == null || !to.isPowered()) {
        release(segment);
      } else {
        channel.host().execute(() -> channel.receive(segment));
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

  static void release(Segment segment) {
    if (segment instanceof Segment.Bytes bytes) {
      bytes.bytes().release();
    }
  }
}
