package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Keeps bytes that belong to no request from the decoder of a connection, and describes what was
 * received for log lines.
 *
 * <p>The decoder would keep a part of a head, which it does not report, and take it for the
 * beginning of the next response.
 */
public final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private static final int MAX_QUOTED_BYTES = 100;

  private final BooleanSupplier isRequestInFlight;
  private final Runnable onUnsolicited;
  private final byte[] firstBytes = new byte[MAX_QUOTED_BYTES];
  private int firstCount;
  private long count;

  /**
   * Creates a handler that stands before the decoder.
   *
   * @param onUnsolicited called when bytes were received and dropped, since no request is in flight
   */
  public ReceivedBytes(BooleanSupplier isRequestInFlight, Runnable onUnsolicited) {
    this.isRequestInFlight = isRequestInFlight;
    this.onUnsolicited = onUnsolicited;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes) {
      record(bytes);
    }
    if (!isRequestInFlight.getAsBoolean()) {
      ReferenceCountUtil.release(message);
      onUnsolicited.run();
      return;
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
  public void restartWith(ByteBuf undecoded) {
    firstCount = 0;
    count = 0;
    record(undecoded);
  }

  /** Number of bytes received since the last restart. */
  public long count() {
    return count;
  }

  /** The first bytes received since the last restart; other than printable ones are escaped. */
  public String quote() {
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
