package org.sageladder.entry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Closes the parts of a daemon in the reverse order of their opening.
 *
 * <pre>{@code
 * OpenParts parts = OpenParts.none();
 * HttpListener callers = parts.add(HttpListener.open(...));
 * parts.close(); // closes callers first, then what was added before it
 * }</pre>
 *
 * <p>A part uses only parts opened before it, so none is used after its end; and a daemon whose
 * start fails half-way leaves no port or thread behind.
 */
final class OpenParts implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deque<AutoCloseable> parts = new ArrayDeque<>();

  private OpenParts() {}

  static OpenParts none() {
    return new OpenParts();
  }

  /** Adds a part that has just been opened, and returns it. */
  <T extends AutoCloseable> T add(T part) {
    parts.push(part);
    return part;
  }

  @Override
  public void close() {
    while (!parts.isEmpty()) {
      try {
        parts.pop().close();
      } catch (Exception e) {
        // The others must be closed all the same, or their threads keep the process alive.
        logger.atWarning().withCause(e).log("a part could not be closed");
      }
    }
  }
}
