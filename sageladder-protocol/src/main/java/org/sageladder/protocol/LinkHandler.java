package org.sageladder.protocol;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.protocol.Handshake.Session;
import org.sageladder.protocol.ProtocolException.Reason;
import org.sageladder.protocol.generated.Inner;

/**
 * Handles one connection: the handshake, then authenticated frames; any violation ends the
 * connection.
 */
final class LinkHandler extends ChannelDuplexHandler {
  /** Maximum frame size before the peer has proved that it has the key. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 1_024;

  /** Maximum frame size afterwards: the largest item, or a push of many, and its envelope. */
  static final int MAX_FRAME_BYTES = (1 << 20) + (1 << 18);

  /** Size of a frame's length field. */
  static final int LENGTH_FIELD_BYTES = 4;

  static final String FRAME_DECODER = "frames";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long HANDSHAKE_TIMEOUT_SECONDS = 5;
  private static final byte[] ENCODED_PROOF =
      Inner.Envelope.newBuilder().setProof(Inner.Proof.getDefaultInstance()).build().toByteArray();

  private final Handshake handshake;
  private final LinkCounters counters;
  private final Events events;
  private final @Nullable String expectedVm;
  private byte @Nullable [] sentHello;
  private @Nullable Session session;
  private boolean isOpen;
  private @Nullable Future<?> handshakeTimeout;

  /** Events for the owner of the links; called on the connection's thread. */
  interface Events {
    void onOpened(String vm, ChannelHandlerContext context);

    void onMessage(String vm, InnerMessage message);

    void onClosed(@Nullable String vm, ChannelHandlerContext context);
  }

  private LinkHandler(
      Handshake handshake, LinkCounters counters, Events events, @Nullable String expectedVm) {
    this.handshake = handshake;
    this.counters = counters;
    this.events = events;
    this.expectedVm = expectedVm;
  }

  /** Creates the handler of an accepted connection. */
  static LinkHandler accepting(Handshake handshake, LinkCounters counters, Events events) {
    return new LinkHandler(handshake, counters, events, null);
  }

  /**
   * Creates the handler of an outgoing connection; {@code expectedVm} is empty if the name is not
   * known.
   */
  static LinkHandler connecting(
      Handshake handshake, LinkCounters counters, Events events, String expectedVm) {
    return new LinkHandler(handshake, counters, events, expectedVm);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    handshakeTimeout =
        context
            .executor()
            .schedule(
                () ->
                    drop(
                        context,
                        Reason.SLOW_HANDSHAKE,
                        "no proof of the key within the handshake timeout"),
                HANDSHAKE_TIMEOUT_SECONDS,
                TimeUnit.SECONDS);
    if (expectedVm == null) {
      return;
    }
    sentHello = handshake.createHello(expectedVm).orElse(null);
    if (sentHello == null) {
      close(context);
      return;
    }
    writeFrame(context, sentHello, context.newPromise());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object frame) {
    ByteBuf buffer = (ByteBuf) frame;
    byte[] bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    ReferenceCountUtil.release(frame);
    counters.countReceived(bytes.length + LENGTH_FIELD_BYTES);
    try {
      handleFrame(context, bytes);
    } catch (ProtocolException e) {
      drop(context, e.reason(), String.valueOf(e.getMessage()));
    }
  }

  private void handleFrame(ChannelHandlerContext context, byte[] bytes) throws ProtocolException {
    Session currentSession = session;
    byte[] hello = sentHello;
    if (currentSession == null && expectedVm == null) {
      Handshake.Accepted accepted = handshake.accept(bytes);
      writeFrame(context, accepted.welcome(), context.newPromise());
      session = accepted.session();
      return;
    }
    if (currentSession == null && hello != null) {
      Session newSession = handshake.complete(hello, bytes);
      session = newSession;
      writeFrame(context, seal(newSession, ENCODED_PROOF), context.newPromise());
      completeHandshake(context, newSession);
      return;
    }
    if (currentSession == null) {
      return;
    }
    byte[] body = unseal(currentSession, bytes);
    if (!isOpen) {
      completeHandshake(context, currentSession);
      return;
    }
    events.onMessage(currentSession.peer(), MessageCodec.decode(body));
  }

  private void completeHandshake(ChannelHandlerContext context, Session establishedSession) {
    isOpen = true;
    Future<?> timeout = handshakeTimeout;
    if (timeout != null) {
      timeout.cancel(false);
    }
    // This must come before the decoder is replaced: the new decoder at once delivers any data read
    // after the handshake, and a message delivered before its link is open could not be answered.
    events.onOpened(establishedSession.peer(), context);
    context
        .pipeline()
        .replace(
            FRAME_DECODER,
            FRAME_DECODER,
            new LengthFieldBasedFrameDecoder(
                MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
  }

  private static byte[] seal(Session session, byte[] body) {
    byte[] tag = session.sendMac().nextTag(body);
    byte[] sealed = Arrays.copyOf(tag, tag.length + body.length);
    System.arraycopy(body, 0, sealed, tag.length, body.length);
    return sealed;
  }

  private static byte[] unseal(Session session, byte[] sealed) throws ProtocolException {
    if (sealed.length < FrameMac.TAG_BYTES) {
      throw new ProtocolException(
          Reason.MALFORMED, "a frame of " + sealed.length + " bytes is shorter than a MAC");
    }
    byte[] body = Arrays.copyOfRange(sealed, FrameMac.TAG_BYTES, sealed.length);
    if (!session.receiveMac().matchesNext(body, Arrays.copyOf(sealed, FrameMac.TAG_BYTES))) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC, "a frame from '" + session.peer() + "' has a wrong MAC");
    }
    return body;
  }

  /** Writes an encoded envelope, passed as a byte array by the owner of the links. */
  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    Session currentSession = session;
    if (!isOpen || currentSession == null || !(message instanceof byte[] body)) {
      promise.setFailure(new IllegalStateException("the link is not open"));
      return;
    }
    writeFrame(context, seal(currentSession, body), promise);
  }

  private void writeFrame(ChannelHandlerContext context, byte[] bytes, ChannelPromise promise) {
    counters.countSent(bytes.length + LENGTH_FIELD_BYTES);
    ByteBuf lengthField = Unpooled.buffer(LENGTH_FIELD_BYTES).writeInt(bytes.length);
    var unused =
        context.writeAndFlush(
            Unpooled.wrappedBuffer(lengthField, Unpooled.wrappedBuffer(bytes)), promise);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      close(context);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongFrameException
        || cause.getCause() instanceof TooLongFrameException) {
      drop(context, Reason.TOO_LARGE, String.valueOf(cause.getMessage()));
      return;
    }
    logger.atFine().withCause(cause).log("link to %s failed", peerName());
    close(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    Future<?> timeout = handshakeTimeout;
    if (timeout != null) {
      timeout.cancel(false);
    }
    events.onClosed(isOpen ? peerName() : null, context);
  }

  private void drop(ChannelHandlerContext context, Reason reason, String detail) {
    counters.countDrop(reason);
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "dropped the inner connection with %s (%s): %s: %s",
        context.channel().remoteAddress(), peerName(), reason, detail);
    close(context);
  }

  private static void close(ChannelHandlerContext context) {
    var unused = context.close();
  }

  private String peerName() {
    Session currentSession = session;
    return currentSession == null ? "unknown" : currentSession.peer();
  }
}
