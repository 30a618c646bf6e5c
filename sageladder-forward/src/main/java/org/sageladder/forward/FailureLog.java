package org.sageladder.forward;

import java.util.function.Consumer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;

/** Counts what tasks and callbacks have thrown, and logs the first ones. */
public final class FailureLog implements Consumer<Throwable> {
  /** Limits the log lines, so that a task that always fails cannot fill the log. */
  private static final int MAX_LINES = 50;

  private static final int LOGGED_FRAMES = 3;

  private final EventSink log;
  private final Metrics metrics;
  private int count;

  private FailureLog(EventSink log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Creates a log that writes to {@code log} and counts in {@code metrics}. */
  public static FailureLog of(EventSink log, Metrics metrics) {
    return new FailureLog(log, metrics);
  }

  @Override
  public void accept(Throwable failure) {
    metrics.count("callbacks_failed");
    count++;
    if (count <= MAX_LINES) {
      String suffix = count == MAX_LINES ? "; further ones are only counted" : "";
      log.record(EventKind.FAILED, "", "", "loop", 0, "threw " + describe(failure) + suffix);
    }
  }

  /**
   * Describes a failure by its type and where it was thrown, such as {@code StackOverflowError at
   * JsonObject.readValue:71}. The message is left out, because it may quote what was received
   * including API keys.
   */
  public static String describe(Throwable failure) {
    StringBuilder text = new StringBuilder(failure.getClass().getSimpleName());
    StackTraceElement[] frames = failure.getStackTrace();
    for (int i = 0; i < Math.min(LOGGED_FRAMES, frames.length); i++) {
      String className = frames[i].getClassName();
      text.append(i == 0 ? " at " : " < ");
      text.append(className, className.lastIndexOf('.') + 1, className.length());
      text.append('.').append(frames[i].getMethodName());
      text.append(':').append(frames[i].getLineNumber());
    }
    return text.toString();
  }
}
