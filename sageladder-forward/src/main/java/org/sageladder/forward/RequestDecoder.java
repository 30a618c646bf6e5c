package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of one connection, and none while the connection is not read.
 *
 * <p>Requests and chunks that are decoded before they can be handled take many times the memory of
 * the bytes that they were received as.
 */
public final class RequestDecoder extends HttpRequestDecoder {
  private final int maxHeadBytes;
  private @Nullable ChannelHandlerContext context;
  private boolean isDecoding;
  private boolean isHeldBack;
  private boolean isDiscarding;
  private int partialBytes;
  private int lineBytes;

  /**
   * Creates a decoder.
   *
   * @param maxHeadBytes limit on the bytes of a head, of trailers and of a line
   * @param maxChunkBytes limit on the bytes of a body that are passed on at once
   */
  public RequestDecoder(int maxHeadBytes, int maxChunkBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeadBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setMaxChunkSize(maxChunkBytes)
            .setHeadersFactory(CompactHeaders.factory())
            .setTrailersFactory(CompactHeaders.factory()));
    this.maxHeadBytes = maxHeadBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    isDecoding = true;
    try {
      super.channelRead(ctx, message);
    } finally {
      isDecoding = false;
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isDiscarding) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    if (!ctx.channel().config().isAutoRead()) {
      isHeldBack = true;
      return;
    }
    int start = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    int decodedBytes = buffer.readerIndex() - start;
    lineBytes = Math.max(lineBytes, Math.min(decodedBytes, maxHeadBytes));
    partialBytes = out.isEmpty() ? partialBytes + decodedBytes : 0;
  }

  /** Decodes what was received while the connection was not read; to be called when it is again. */
  public void resume() {
    ChannelHandlerContext current = context;
    if (!isHeldBack || isDecoding || current == null) {
      return;
    }
    isHeldBack = false;
    try {
      channelRead(current, Unpooled.EMPTY_BUFFER);
      current.fireChannelReadComplete();
    } catch (Exception e) {
      current.fireExceptionCaught(e);
    }
  }

  /** Drops what was received and what is still to come. */
  public void discard() {
    isDiscarding = true;
    isHeldBack = true;
    resume();
  }

  /**
   * Bytes of heap that the decoder holds: what it has not decoded, the beginning of a head or of
   * trailers, and a buffer for the longest line.
   */
  public long heldBytes() {
    ByteBuf undecoded = internalBuffer();
    int undecodedBytes = undecoded.isReadable() ? undecoded.capacity() : 0;
    return undecodedBytes + 2L * partialBytes + lineBytes;
  }
}
