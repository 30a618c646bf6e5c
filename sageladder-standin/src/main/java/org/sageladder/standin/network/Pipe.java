package org.sageladder.standin.network;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One direction of a connection: what was sent arrives in order, after the way's delay.
 *
 * <p>What arrives at a cut waits until the cut heals, as a kernel sends it again until then.
 */
final class Pipe {
  /** What travels: bytes, the connection's orderly end, or its reset. */
  sealed interface Parcel {
    /** Bytes; the receiver releases them. */
    record Bytes(ByteBuf bytes) implements Parcel {}

    /** Nothing more comes. */
    record End() implements Parcel {}

    /** The connection is gone. */
    record Reset() implements Parcel {}
  }

  private record Travelling(long atNanos, Parcel parcel) {}

  private final SimulatedNetwork network;
  private final SimulatedHost from;
  private final SimulatedHost to;
  private final Deque<Travelling> travelling = new ArrayDeque<>();
  private @Nullable SimulatedChannel receiver;
  private long lastAtNanos;
  private boolean silent;

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

  void receiver(SimulatedChannel channel) {
    receiver = channel;
  }

  /** Loses whatever is sent from now on, and tells nobody. */
  void silence() {
    silent = true;
  }

  boolean isBlocked() {
    return silent || !to.isPowered() || !network.passes(from, to);
  }

  void send(Parcel parcel) {
    lastAtNanos = Math.max(lastAtNanos, network.arrivalNanos(from, to));
    travelling.addLast(new Travelling(lastAtNanos, parcel));
    network.at(lastAtNanos, this::arrive);
  }

  /** Hands over what is due. */
  void arrive() {
    while (!travelling.isEmpty() && travelling.peekFirst().atNanos() <= network.nanos()) {
      if (!silent && to.isPowered() && !network.passes(from, to)) {
        network.hold(this);
        return;
      }
      Parcel parcel = travelling.removeFirst().parcel();
      SimulatedChannel known = receiver;
      if (silent || known == null || !to.isPowered()) {
        drop(parcel);
      } else {
        known.host().execute(() -> known.receive(parcel));
      }
    }
  }

  static void drop(Parcel parcel) {
    if (parcel instanceof Parcel.Bytes bytes) {
      bytes.bytes().release();
    }
  }
}
