package org.sageladder.standin.platform;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.sageladder.forward.Loop;
import org.sageladder.standin.platform.TargetStandIn.Fault;

/** Draws which bytes of no request a faulty target sends behind an answer, and when. */
final class UnsolicitedAnswers {
  private static final int MAX_IDLE_MILLIS = 60;
  private static final int MAX_ADDED_BYTES = 40;

  /** None of these may be a part of an id. */
  private static final byte[] SPOILING = {0, '\n', '\r', ' ', ':', (byte) 0xff};

  private static final String ADDED = "HTTP/1.1 200 Done\r\nContent-Length: 0\r\n\r\n\0\t:;{}<>";

  private final Loop loop;
  private final Random random;

  UnsolicitedAnswers(Loop loop, long seed) {
    this.loop = loop;
    this.random = new Random(seed);
  }

  /** Returns whether the target fails the next request of a connection with such bytes. */
  boolean drawsFailure(ServerPort.Exchange exchange) {
    return exchange.extra().isMarked() && random.nextBoolean();
  }

  /** Returns a part of the answer that ends within its head. */
  byte[] cutInHead(byte[] answer) {
    return Arrays.copyOf(answer, 1 + random.nextInt(headLength(answer) - 1));
  }

  /** Sends the answer and, now or later, the bytes of the fault. */
  void send(Fault fault, byte[] answer, String id, ServerPort.Exchange exchange) {
    exchange.extra().mark();
    switch (fault) {
      case ANSWERS_TWICE_LATE -> {
        exchange.writeRawAnswer(answer);
        sendLater(answer, 1 + random.nextInt(3), exchange);
      }
      case ANSWERS_TWICE_IN_PIECES -> sendInPieces(answer, exchange);
      case ANSWERS_TWICE_CUT -> {
        byte[] piece = Arrays.copyOf(answer, drawPosition(answer));
        exchange.writeRawAnswer(answer);
        sendIfOpen(piece, true, exchange);
      }
      case ANSWERS_TWICE_SPOILT -> sendAtAnyTime(answer, spoil(answer), exchange);
      case ANSWERS_TWICE_WITHOUT_ID ->
          sendAtAnyTime(
              answer,
              text(answer).replace("Request-Id: " + id + "\r\n", "").getBytes(charset()),
              exchange);
      case ADDS_BYTES -> sendAtAnyTime(answer, drawAddedBytes(), exchange);
      default -> throw new IllegalArgumentException("no such bytes with " + fault);
    }
  }

  private void sendInPieces(byte[] answer, ServerPort.Exchange exchange) {
    int position = drawPosition(answer);
    byte[] rest = Arrays.copyOfRange(answer, position, answer.length);
    sendAtAnyTime(answer, Arrays.copyOf(answer, position), exchange);
    switch (random.nextInt(3)) {
      case 0 -> exchange.extra().put(ExtraBytes.Moment.BEHIND_NEXT_ANSWER, rest);
      case 1 ->
          exchange
              .extra()
              .put(
                  ExtraBytes.Moment.BEFORE_NEXT_ANSWER,
                  concat(exchange.extra().take(ExtraBytes.Moment.BEFORE_NEXT_ANSWER), rest));
      default -> {
        // The rest is never sent.
      }
    }
  }

  private void sendAtAnyTime(byte[] answer, byte[] extra, ServerPort.Exchange exchange) {
    int moment = random.nextInt(4);
    exchange.writeRawAnswer(moment == 0 ? concat(answer, extra) : answer);
    if (moment > 0) {
      sendLater(extra, moment, exchange);
    }
  }

  private void sendLater(byte[] extra, int moment, ServerPort.Exchange exchange) {
    switch (moment) {
      case 1 -> sendIfOpen(extra, false, exchange);
      case 2 -> exchange.extra().put(ExtraBytes.Moment.AFTER_NEXT_REQUEST, extra);
      default -> exchange.extra().put(ExtraBytes.Moment.BEFORE_NEXT_ANSWER, extra);
    }
  }

  private void sendIfOpen(byte[] extra, boolean closes, ServerPort.Exchange exchange) {
    Runnable task =
        () -> {
          if (exchange.isOpen()) {
            exchange.writeRaw(extra, closes);
          }
        };
    var unused = loop.schedule(1 + random.nextInt(MAX_IDLE_MILLIS), task);
  }

  /** Half of the positions lie within the head. */
  private int drawPosition(byte[] answer) {
    int end = random.nextBoolean() ? headLength(answer) : answer.length;
    return 1 + random.nextInt(end - 1);
  }

  private byte[] spoil(byte[] answer) {
    byte[] spoilt = answer.clone();
    spoilt[drawPosition(answer)] = SPOILING[random.nextInt(SPOILING.length)];
    return spoilt;
  }

  private byte[] drawAddedBytes() {
    int from = random.nextInt(ADDED.length());
    int to = Math.min(ADDED.length(), from + 1 + random.nextInt(MAX_ADDED_BYTES));
    return ADDED.substring(from, to).getBytes(charset());
  }

  private static int headLength(byte[] answer) {
    return text(answer).indexOf("\r\n\r\n");
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  private static String text(byte[] answer) {
    return new String(answer, charset());
  }

  private static Charset charset() {
    return StandardCharsets.ISO_8859_1;
  }
}
