package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Counts the bytes that a connection receives and keeps the first ones, for log lines.
 *
 * <p>It stands before the decoder, which reports nothing of a head that is incomplete or malformed.
 */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private static final int MAX_QUOTED_BYTES = 100;

  private final byte[] firstBytes = new byte[MAX_QUOTED_BYTES];
  private int firstCount;
  private long count;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes) {
      record(bytes);
    }
    ctx.fireChannelRead(message);
  }

  private void record(ByteBuf bytes) {
    int kept = Math.min(bytes.readableBytes(), MAX_QUOTED_BYTES - firstCount);
    bytes.getBytes(bytes.readerIndex(), firstBytes, firstCount, kept);
    firstCount += kept;
    count += bytes.readableBytes();
  }

  /** Forgets all bytes received so far, except {@code undecoded}, the last ones. */
  void restartWith(ByteBuf undecoded) {
    firstCount = 0;
    count = 0;
    record(undecoded);
  }

  /** Number of bytes received since the last restart. */
  long count() {
    return count;
  }

  /** The first bytes received since the last restart; other than printable ones are escaped. */
  String quote() {
    StringBuilder text = new StringBuilder("'");
    for (int i = 0; i < firstCount; i++) {
      char c = (char) (firstBytes[i] & 0xff);
      switch (c) {
        case '\r' -> text.append("\\r");
        case '\n' -> text.append("\\n");
        case '\\' -> text.append("\\\\");
        default -> {
          if (c >= ' ' && c <= '~') {
            text.append(c);
          } else {
            text.append(String.format("\\x%02x", (int) c));
          }
        }
      }
    }
    return text.append(count > firstCount ? "'..." : "'").toString();
  }
}
