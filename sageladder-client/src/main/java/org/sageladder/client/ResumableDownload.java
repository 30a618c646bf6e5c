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
 * Downloads one large response; resumes a truncated one by a range request.
 *
 * <p>The parts before and after a truncation may belong to two versions of the resource, and
 * combined they would look complete. A part is therefore requested only with the strong entity tag
 * of the first one ({@code If-Range}), and rejected if it starts at another offset, has another
 * tag, or does not state the total length. Without a strong tag the download restarts.
 *
 * <p>One instance serves one request on one thread; the I/O thread calls the sink while that thread
 * waits.
 */
final class ResumableDownload implements PartSink {
  private static final Duration INITIAL_ATTEMPT_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);
  private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]+)-([0-9]+)/([0-9]+)");
  private static final long UNKNOWN_LENGTH = -1;

  private final PartSender sender;
  private final Request request;
  private final BodySink sink;
  private final long deadlineNanos;
  private Duration attemptTimeout = INITIAL_ATTEMPT_TIMEOUT;
  private Duration backoff = MIN_BACKOFF;
  private volatile String entityTag = "";
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile long totalBytes = UNKNOWN_LENGTH;
  private volatile boolean isPartAccepted;
  private int attemptCount;

  private ResumableDownload(PartSender sender, Request request, BodySink sink) {
    this.sender = sender;
    this.request = request;
    this.sink = sink;
    this.deadlineNanos = System.nanoTime() + request.deadline().toNanos();
  }

  /**
   * Makes one attempt at one part; {@code partNumber} increases with each, so that each goes to
   * another entry VM.
   */
  @FunctionalInterface
  interface PartSender {
    Answer send(Request part, PartSink sink, int partNumber);
  }

  static ResumableDownload of(PartSender sender, Request request, BodySink sink) {
    if (!request.method().equals("GET")) {
      throw new IllegalArgumentException(
          "method \"" + request.method() + "\": only a response to GET can be downloaded in parts");
    }
    return new ResumableDownload(sender, request, sink);
  }

  /**
   * Downloads until the response is complete, the target sends another status, or the deadline has
   * passed.
   */
  Answer execute() {
    for (int partNumber = 0; ; partNumber++) {
      long receivedBefore = receivedBytes.get();
      isPartAccepted = false;
      Answer answer = sender.send(nextPart(), this, partNumber);
      attemptCount += answer.attemptCount();
      if (answer instanceof Answer.Complete complete && isFinished(complete)) {
        return new Answer.Complete(
            complete.status(),
            complete.headers(),
            complete.body(),
            complete.target(),
            attemptCount);
      }
      if (!isRetryable(answer) || !pause(answer, receivedBytes.get() > receivedBefore)) {
        return incompleteAnswer(answer);
      }
    }
  }

  private Request nextPart() {
    Duration remaining = remainingTime();
    Request part =
        request.deadline(remaining.compareTo(attemptTimeout) < 0 ? remaining : attemptTimeout);
    if (receivedBytes.get() == 0 || entityTag.isEmpty()) {
      return part;
    }
    return part.header(HttpHeaders.RANGE, "bytes=" + receivedBytes + "-")
        .header(HttpHeaders.IF_RANGE, entityTag);
  }

  private boolean isFinished(Answer.Complete complete) {
    if (isPartAccepted) {
      return totalBytes == UNKNOWN_LENGTH || receivedBytes.get() == totalBytes;
    }
    if (complete.status() == HttpStatus.SC_REQUESTED_RANGE_NOT_SATISFIABLE
        && receivedBytes.get() > 0) {
      resetProgress();
      return false;
    }
    return true;
  }

  private static boolean isRetryable(Answer answer) {
    if (answer instanceof Answer.NotRun notRun) {
      return RetryPolicy.isRetryable(notRun.code());
    }
    return !(answer instanceof Answer.RanAnswerUnavailable);
  }

  /** Returns an outcome other than success, as the sink holds an incomplete response. */
  private Answer incompleteAnswer(Answer last) {
    if (last instanceof Answer.NotRun notRun && receivedBytes.get() == 0) {
      return new Answer.NotRun(notRun.code(), notRun.retryAfter(), notRun.detail(), attemptCount);
    }
    String detail =
        "incomplete: " + receivedBytes + " bytes of " + (totalBytes < 0 ? "?" : totalBytes);
    return new Answer.Unknown(ResultCode.OUTCOME_UNKNOWN, "", detail, attemptCount);
  }

  /**
   * Waits with a backoff that doubles after each attempt that received nothing or cannot be
   * resumed; returns false if the deadline would pass.
   */
  private boolean pause(Answer answer, boolean madeProgress) {
    if (madeProgress && !entityTag.isEmpty()) {
      backoff = MIN_BACKOFF;
    } else {
      // A target without range support restarts each time, so the next attempt needs more time than
      // this one.
      attemptTimeout = attemptTimeout.multipliedBy(2);
      backoff = backoff.compareTo(MAX_BACKOFF) < 0 ? backoff.multipliedBy(2) : MAX_BACKOFF;
    }
    long retryAfterNanos =
        answer instanceof Answer.NotRun notRun ? notRun.retryAfter().toNanos() : 0;
    long nanos =
        Math.min(retryAfterNanos, MAX_BACKOFF.toNanos())
            + ThreadLocalRandom.current().nextLong(backoff.toNanos());
    if (nanos >= remainingTime().toNanos()) {
      return false;
    }
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
      return remainingTime().toMillis() > 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Duration remainingTime() {
    return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
  }

  @Override
  public boolean acceptsBody(HttpResponse response) throws IOException {
    if (response.getCode() == HttpStatus.SC_OK) {
      resetProgress();
      entityTag = strongEntityTag(response);
      totalBytes = parseLength(headerValue(response, HttpHeaders.CONTENT_LENGTH));
      sink.begin();
      isPartAccepted = true;
      return true;
    }
    if (response.getCode() != HttpStatus.SC_PARTIAL_CONTENT) {
      return false;
    }
    if (!continuesPreviousPart(response)) {
      resetProgress();
      throw new IOException("the part does not continue where the last one ended");
    }
    isPartAccepted = true;
    return true;
  }

  private boolean continuesPreviousPart(HttpResponse response) {
    Matcher range = CONTENT_RANGE.matcher(headerValue(response, HttpHeaders.CONTENT_RANGE));
    if (!range.matches() || entityTag.isEmpty() || !strongEntityTag(response).equals(entityTag)) {
      return false;
    }
    long statedBytes = parseLength(range.group(3));
    boolean sameLength = totalBytes == UNKNOWN_LENGTH || totalBytes == statedBytes;
    totalBytes = statedBytes;
    return sameLength && parseLength(range.group(1)) == receivedBytes.get();
  }

  /** Makes the next attempt start from the first byte. */
  private void resetProgress() {
    receivedBytes.set(0);
    entityTag = "";
    totalBytes = UNKNOWN_LENGTH;
  }

  @Override
  public void begin() {}

  @Override
  public void accept(ByteBuffer piece) throws IOException {
    int size = piece.remaining();
    sink.accept(piece);
    receivedBytes.addAndGet(size);
  }

  private static String strongEntityTag(HttpResponse response) {
    String tag = headerValue(response, HttpHeaders.ETAG);
    return tag.startsWith("\"") ? tag : "";
  }

  private static String headerValue(HttpResponse response, String name) {
    Header header = response.getFirstHeader(name);
    return header == null ? "" : header.getValue();
  }

  private static long parseLength(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return UNKNOWN_LENGTH;
    }
  }
}
