package org.sageladder.entry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Closes the resources of a daemon in reverse order of their opening.
 *
 * <pre>{@code
 * ResourceStack resources = ResourceStack.empty();
 * HttpListener callers = resources.add(HttpListener.open(...));
 * resources.close(); // closes callers first, then what was added before it
 * }</pre>
 *
 * <p>A resource uses only resources opened before it, so none is used after it was closed. A daemon
 * that fails to start leaves no open port or running thread behind.
 */
final class ResourceStack implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  private ResourceStack() {}

  static ResourceStack empty() {
    return new ResourceStack();
  }

  /** Adds a resource that has just been opened, and returns it. */
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
        // The other resources must still be closed, as their threads would keep the process alive.
        logger.atWarning().withCause(e).log("cannot close a resource");
      }
    }
  }
}
