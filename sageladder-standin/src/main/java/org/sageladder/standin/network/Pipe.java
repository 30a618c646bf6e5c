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
  sealed interface Parcel {
    /** Bytes; the receiver releases them. */
    record Bytes(ByteBuf bytes) implements Parcel {}

    /** Nothing more comes. */
    record End() implements Parcel {}

    /** The connection is gone. */
    record Reset() implements Parcel {}
  }

  /** Pause of a kernel before it sends a lost packet again the first time. */
  private static final long FIRST_PAUSE_NANOS = 200_000_000;

  private record Travelling(long atNanos, Parcel parcel) {}

  private final SimulatedNetwork network;
  private final SimulatedHost from;
  private final SimulatedHost to;
  private final Deque<Travelling> travelling = new ArrayDeque<>();
  private @Nullable SimulatedChannel receiver;
  private long lastAtNanos;
  private boolean silent;
  private boolean reset;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private long sentAgainAtNanos;

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

  /** Ends the connection: what is on its way arrives, what was lost is not sent again. */
  void reset() {
    reset = true;
    send(new Parcel.Reset());
    if (network.nanos() < sentAgainAtNanos) {
      loseAll();
    }
  }

  private void loseAll() {
    travelling.forEach(lost -> drop(lost.parcel()));
    travelling.clear();
  }

  /** Hands over what is due. */
  private void arrive() {
    if (network.nanos() < sentAgainAtNanos) {
      return;
    }
    while (!travelling.isEmpty() && travelling.peekFirst().atNanos() <= network.nanos()) {
      if (!silent && to.isPowered() && !network.passes(from, to)) {
        lost();
        return;
      }
      pauseNanos = FIRST_PAUSE_NANOS;
      Parcel parcel = travelling.removeFirst().parcel();
      SimulatedChannel known = receiver;
      if (silent || known == null || !to.isPowered()) {
        drop(parcel);
      } else {
        known.host().execute(() -> known.receive(parcel));
      }
    }
  }

  private void lost() {
    if (reset) {
      loseAll();
      return;
    }
    sentAgainAtNanos = network.nanos() + pauseNanos;
    pauseNanos *= 2;
    network.at(sentAgainAtNanos, this::arrive);
  }

  static void drop(Parcel parcel) {
    if (parcel instanceof Parcel.Bytes bytes) {
      bytes.bytes().release();
    }
  }
}
