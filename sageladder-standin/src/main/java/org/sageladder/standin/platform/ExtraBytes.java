package org.sageladder.standin.platform;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.EnumMap;
import java.util.Map;

/** Bytes of no request that a faulty target is still to send on a connection. */
final class ExtraBytes {
  /** When bytes are sent. */
  enum Moment {
    /** As soon as the next request has been received. */
    AFTER_NEXT_REQUEST,
    /** In one write with the next answer, before it. */
    BEFORE_NEXT_ANSWER,
    /** In one write with the next answer, behind it. */
    BEHIND_NEXT_ANSWER
  }

  private static final AttributeKey<ExtraBytes> KEY =
      AttributeKey.valueOf(ExtraBytes.class, "extra");

  private final Map<Moment, byte[]> pending = new EnumMap<>(Moment.class);
  private boolean isMarked;

  private ExtraBytes() {}

  /** Returns what is still to be sent on the connection. */
  static ExtraBytes of(Channel channel) {
    channel.attr(KEY).setIfAbsent(new ExtraBytes());
    return channel.attr(KEY).get();
  }

  void put(Moment moment, byte[] bytes) {
    pending.put(moment, bytes);
  }

  /** Returns the bytes that are due, which may be none, and forgets them. */
  byte[] take(Moment moment) {
    byte[] due = pending.remove(moment);
    return due == null ? new byte[0] : due;
  }

  /** Marks the connection as one that carries, or is to carry, such bytes. */
  void mark() {
    isMarked = true;
  }

  boolean isMarked() {
    return isMarked;
  }
}
