package org.sageladder.bench.background;

import java.nio.ByteBuffer;
import org.sageladder.client.BodySink;
import org.sageladder.standin.target.AnswerPattern;

/** Verifies a response body byte by byte as it arrives, without buffering it. */
final class CheckedSink implements BodySink {
  private final long seed;
  private AnswerPattern.Checker checker;
  private int beginCount;

  private CheckedSink(long seed) {
    this.seed = seed;
    this.checker = AnswerPattern.checker(seed);
  }

  /** Creates a sink for the response to the request with that checksum. */
  static CheckedSink of(long checksum) {
    return new CheckedSink(checksum);
  }

  @Override
  public synchronized void begin() {
    beginCount++;
    checker = AnswerPattern.checker(seed);
  }

  @Override
  public synchronized void accept(ByteBuffer chunk) {
    checker.add(chunk);
  }

  synchronized int restartCount() {
    return Math.max(0, beginCount - 1);
  }

  /** True if exactly {@code length} bytes have arrived and all are correct. */
  synchronized boolean isComplete(long length) {
    return checker.length() == length && checker.matches();
  }
}
