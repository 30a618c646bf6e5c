package org.sageladder.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.sageladder.core.result.ResultCode;

/**
 * Fetches one large answer, going on by range where a cut one ended.
 *
 * <p>Failure guarded against: what came before a cut and what came after it belong to two versions
 * of the recording; glued together they look whole. So a part is asked for only with the strong
 * entity tag of the first one ({@code If-Range}), and one that begins elsewhere, names another tag
 * or leaves the length open is dropped. Without a strong tag the fetch begins anew.
 *
 * <p>One instance belongs to one request and one thread; the sink is called by the I/O thread while
 * that thread waits.
 */
final class Download implements PartSink {
  private static final Duration FIRST_LIMIT = Duration.ofMinutes(1);
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(50);
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);
  private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]+)-([0-9]+)/([0-9]+)");
  private static final long UNKNOWN_LENGTH = -1;

  private final PartSender sender;
  private final Request request;
  private final BodySink sink;
  private final long deadline;
  private Duration limit = FIRST_LIMIT;
  private Duration backoff = SHORTEST_PAUSE;
  private volatile String entityTag = "";
  private final AtomicLong received = new AtomicLong();
  private volatile long length = UNKNOWN_LENGTH;
  private volatile boolean partTaken;
  private int tries;

  private Download(PartSender sender, Request request, BodySink sink) {
    this.sender = sender;
    this.request = request;
    this.sink = sink;
    this.deadline = System.nanoTime() + request.deadline().toNanos();
  }

  /** Sends one request once; {@code number} counts the parts, so that each asks another VM. */
  @FunctionalInterface
  interface PartSender {
    Answer send(Request part, PartSink sink, int number);
  }

  static Download of(PartSender sender, Request request, BodySink sink) {
    if (!request.method().equals("GET")) {
      throw new IllegalArgumentException(
          "method \"" + request.method() + "\": only an answer to GET can be fetched in parts");
    }
    return new Download(sender, request, sink);
  }

  /** Fetches until the answer is whole, the target answers otherwise, or the time is over. */
  Answer run() {
    for (int number = 0; ; number++) {
      long before = received.get();
      partTaken = false;
      Answer answer = sender.send(part(), this, number);
      tries += answer.tries();
      if (answer instanceof Answer.Whole whole && isEnd(whole)) {
        return new Answer.Whole(
            whole.status(), whole.headers(), whole.body(), whole.target(), tries);
      }
      if (!maySucceedLater(answer) || !pause(answer, received.get() > before)) {
        return ended(answer);
      }
    }
  }

  private Request part() {
    Duration left = remaining();
    Request part = request.deadline(left.compareTo(limit) < 0 ? left : limit);
    if (received.get() == 0 || entityTag.isEmpty()) {
      return part;
    }
    return part.header(HttpHeaders.RANGE, "bytes=" + received + "-")
        .header(HttpHeaders.IF_RANGE, entityTag);
  }

  private boolean isEnd(Answer.Whole whole) {
    if (partTaken) {
      return length == UNKNOWN_LENGTH || received.get() == length;
    }
    if (whole.status() == HttpStatus.SC_REQUESTED_RANGE_NOT_SATISFIABLE && received.get() > 0) {
      forget();
      return false;
    }
    return true;
  }

  private static boolean maySucceedLater(Answer answer) {
    if (answer instanceof Answer.NotRun notRun) {
      return RetryRules.passes(notRun.code());
    }
    return !(answer instanceof Answer.RanUnseen);
  }

  /** Never a success: what the sink holds is not whole. */
  private Answer ended(Answer last) {
    if (last instanceof Answer.NotRun notRun && received.get() == 0) {
      return new Answer.NotRun(notRun.code(), notRun.retryAfter(), notRun.detail(), tries);
    }
    String detail = "not whole: " + received + " bytes of " + (length < 0 ? "?" : length);
    return new Answer.Unknown(ResultCode.OUTCOME_UNKNOWN, "", detail, tries);
  }

  /** Waits longer each time nothing came; false where the time would be over. */
  private boolean pause(Answer answer, boolean progress) {
    if (progress && !entityTag.isEmpty()) {
      backoff = SHORTEST_PAUSE;
    } else {
      // A target without ranges begins anew each time, so the next try needs more time than this.
      limit = limit.multipliedBy(2);
      backoff = backoff.compareTo(LONGEST_PAUSE) < 0 ? backoff.multipliedBy(2) : LONGEST_PAUSE;
    }
    long asked = answer instanceof Answer.NotRun notRun ? notRun.retryAfter().toNanos() : 0;
    long nanos =
        Math.min(asked, LONGEST_PAUSE.toNanos())
            + ThreadLocalRandom.current().nextLong(backoff.toNanos());
    if (nanos >= remaining().toNanos()) {
      return false;
    }
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
      return remaining().toMillis() > 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Duration remaining() {
    return Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
  }

  @Override
  public boolean takes(HttpResponse response) throws IOException {
    if (response.getCode() == HttpStatus.SC_OK) {
      forget();
      entityTag = strongTag(response);
      length = number(value(response, HttpHeaders.CONTENT_LENGTH));
      sink.begin();
      partTaken = true;
      return true;
    }
    if (response.getCode() != HttpStatus.SC_PARTIAL_CONTENT) {
      return false;
    }
    if (!continues(response)) {
      forget();
      throw new IOException("the part does not go on where the last one ended");
    }
    partTaken = true;
    return true;
  }

  private boolean continues(HttpResponse response) {
    Matcher range = CONTENT_RANGE.matcher(value(response, HttpHeaders.CONTENT_RANGE));
    if (!range.matches() || entityTag.isEmpty() || !strongTag(response).equals(entityTag)) {
      return false;
    }
    long whole = number(range.group(3));
    boolean sameLength = length == UNKNOWN_LENGTH || length == whole;
    length = whole;
    return sameLength && number(range.group(1)) == received.get();
  }

  /** The next try begins anew. */
  private void forget() {
    received.set(0);
    entityTag = "";
    length = UNKNOWN_LENGTH;
  }

  @Override
  public void begin() {}

  @Override
  public void accept(ByteBuffer piece) throws IOException {
    int size = piece.remaining();
    sink.accept(piece);
    received.addAndGet(size);
  }

  private static String strongTag(HttpResponse response) {
    String tag = value(response, HttpHeaders.ETAG);
    return tag.startsWith("\"") ? tag : "";
  }

  private static String value(HttpResponse response, String name) {
    Header header = response.getFirstHeader(name);
    return header == null ? "" : header.getValue();
  }

  private static long number(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return UNKNOWN_LENGTH;
    }
  }
}
