package org.sageladder.forward;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;

/**
 * Passes warnings of the libraries to the log of this VM.
 *
 * <p>The default handler opens files to format the time. Without free descriptors that fails with
 * an error, which would end the event loop that logs why it cannot accept a connection.
 */
public final class LibraryWarnings extends Handler {
  /** Limits the log lines, so that a warning that repeats cannot fill the log. */
  private static final int MAX_LINES = 50;

  private final EventSink log;
  private final AtomicInteger count = new AtomicInteger();

  private LibraryWarnings(EventSink log) {
    this.log = log;
  }

  /** Replaces all handlers of the process by one that writes to {@code log}. */
  public static void logTo(EventSink log) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(Level.WARNING);
    root.addHandler(new LibraryWarnings(log));
  }

  /** Logs where a warning comes from; its message is left out if it may quote what was received. */
  @Override
  public void publish(LogRecord warning) {
    int line = count.incrementAndGet();
    if (line > MAX_LINES) {
      return;
    }
    Throwable thrown = warning.getThrown();
    String detail = thrown == null ? warning.getMessage() : FailureLog.describe(thrown);
    String suffix = line == MAX_LINES ? "; further ones are left out" : "";
    log.record(
        EventKind.FAILED, "", "", "library", 0, warning.getLoggerName() + ": " + detail + suffix);
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
