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
final class ResourceStack implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  private ResourceStack() {}

  static ResourceStack empty() {
    return new ResourceStack();
  }

  /** Adds a part that has just been opened, and returns it. */
  <T extends AutoCloseable> T add(T resource) {
    resources.push(resource);
    return resource;
  }

  @Override
  public void close() {
    while (!resources.isEmpty()) {
      try {
        resources.pop().close();
      } catch (Exception e) {
        // The others must be closed all the same, or their threads keep the process alive.
        logger.atWarning().withCause(e).log("a part could not be closed");
      }
    }
  }
}
