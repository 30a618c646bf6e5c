package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/** Decodes the responses of one connection. */
public final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  /** RFC 9110, section 15: three digits from 100 to 599. */
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  private final BooleanSupplier isHeadRequest;
  private final RawHeadValidator headValidator = new RawHeadValidator();
  private boolean isInHead = true;

  /**
   * Creates a decoder.
   *
   * @param isHeadRequest true if the request in flight is a HEAD, whose response has no body
   */
  public ResponseDecoder(BooleanSupplier isHeadRequest) {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(CompactHeaders.factory())
            .setTrailersFactory(CompactHeaders.factory()));
    this.isHeadRequest = isHeadRequest;
  }

  /** Decodes the next part of a response and checks the bytes of its head. */
  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    int start = buffer.readerIndex();
    int decodedCount = out.size();
    super.decode(ctx, buffer, out);
    if (isInHead) {
      buffer.forEachByte(start, buffer.readerIndex() - start, headValidator);
    }
    for (Object message : out.subList(decodedCount, out.size())) {
      onDecoded(message);
    }
  }

  private void onDecoded(Object message) {
    if (message instanceof HttpResponse head) {
      isInHead = false;
      String fault = headValidator.fault();
      if (fault != null) {
        head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
      }
    }
    if (message instanceof LastHttpContent) {
      isInHead = true;
      headValidator.reset();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(message);
  }

  /**
   * Rejects a status line without a valid status. The default accepts any text that is a number,
   * such as {@code 000} or {@code +200}.
   *
   * @param initialLine version, status and reason phrase
   */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!STATUS.matcher(initialLine[1]).matches()) {
      throw new IllegalArgumentException("the status is not a number from 100 to 599");
    }
    return super.createMessage(initialLine);
  }

  /**
   * Rejects a header with other bytes between its name and the colon, or without a colon. The
   * default drops these bytes, which may be the status line of a response behind a part of another
   * one, and accepts whitespace there. The name itself is checked as the header is added.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    if (end == line.length || line[end] != ':') {
      throw new IllegalArgumentException("no colon at the end of the name of a header");
    }
    return super.splitHeaderName(line, start, length);
  }

  /** True if a response to the request in flight has no body, whatever its headers say. */
  boolean isWithoutBody(HttpResponse response) {
    return isContentAlwaysEmpty(response);
  }

  /** Bytes received but not decoded yet, in the decoder's own buffer. */
  public ByteBuf undecodedBytes() {
    return internalBuffer();
  }
}
