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

/** One connection: handshake, then sealed frames; whatever does not fit ends it. */
final class LinkHandler extends ChannelDuplexHandler {
  /** Largest frame before the peer has proved that it has the key. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 1_024;

  /** Largest frame afterwards: the largest item, or a push of many, and its envelope. */
  static final int MAX_FRAME_BYTES = (1 << 20) + (1 << 18);

  /** Bytes of a frame's length. */
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
  private byte @Nullable [] hello;
  private @Nullable Session session;
  private boolean isOpen;
  private @Nullable Future<?> handshakeTimeout;

  /** What the owner of the links is told; called on the connection's thread. */
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

  /** The side that was connected to. */
  static LinkHandler accepting(Handshake handshake, LinkCounters counters, Events events) {
    return new LinkHandler(handshake, counters, events, null);
  }

  /** The side that connects; {@code expectedVm} is empty where the name is not known. */
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
                () -> drop(context, Reason.SLOW_HANDSHAKE, "no proof of the key in time"),
                HANDSHAKE_TIMEOUT_SECONDS,
                TimeUnit.SECONDS);
    if (expectedVm == null) {
      return;
    }
    hello = handshake.createHello(expectedVm).orElse(null);
    if (hello == null) {
      close(context);
      return;
    }
    writeFrame(context, hello, context.newPromise());
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
    Session now = session;
    byte[] sentHello = hello;
    if (now == null && expectedVm == null) {
      Handshake.Accepted accepted = handshake.accept(bytes);
      writeFrame(context, accepted.welcome(), context.newPromise());
      session = accepted.session();
      return;
    }
    if (now == null && sentHello != null) {
      Session complete = handshake.complete(sentHello, bytes);
      session = complete;
      writeFrame(context, seal(complete, ENCODED_PROOF), context.newPromise());
      completeHandshake(context, complete);
      return;
    }
    if (now == null) {
      return;
    }
    byte[] body = unseal(now, bytes);
    if (!isOpen) {
      completeHandshake(context, now);
      return;
    }
    events.onMessage(now.peer(), MessageCodec.decode(body));
  }

  private void completeHandshake(ChannelHandlerContext context, Session establishedSession) {
    isOpen = true;
    Future<?> waiting = handshakeTimeout;
    if (waiting != null) {
      waiting.cancel(false);
    }
    // First, as the new decoder passes on at once what was read behind the handshake: a message
    // that
    // came before its link was known could not be answered.
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
      throw new ProtocolException(Reason.MALFORMED, "a frame of " + sealed.length + " bytes");
    }
    byte[] body = Arrays.copyOfRange(sealed, FrameMac.TAG_BYTES, sealed.length);
    if (!session.receiveMac().matchesNext(body, Arrays.copyOf(sealed, FrameMac.TAG_BYTES))) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC, "a frame from '" + session.peer() + "' has a wrong MAC");
    }
    return body;
  }

  /** Takes encoded envelopes from the owner of the links. */
  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    Session now = session;
    if (!isOpen || now == null || !(message instanceof byte[] body)) {
      promise.setFailure(new IllegalStateException("the link is not open"));
      return;
    }
    writeFrame(context, seal(now, body), promise);
  }

  private void writeFrame(ChannelHandlerContext context, byte[] bytes, ChannelPromise promise) {
    counters.countSent(bytes.length + LENGTH_FIELD_BYTES);
    ByteBuf head = Unpooled.buffer(LENGTH_FIELD_BYTES).writeInt(bytes.length);
    var unused =
        context.writeAndFlush(Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(bytes)), promise);
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
    Future<?> waiting = handshakeTimeout;
    if (waiting != null) {
      waiting.cancel(false);
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
    Session now = session;
    return now == null ? "unknown" : now.peer();
  }
}
