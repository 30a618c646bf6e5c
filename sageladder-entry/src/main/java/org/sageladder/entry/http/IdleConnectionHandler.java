package org.sageladder.entry.http;

import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Closes connections without traffic, unless the caller is waiting for a response.
 *
 * <p>Callers that vanish without closing their connection each occupy a descriptor forever, until
 * the port refuses all callers. The HTTP library's own timeout would also close the connection of a
 * caller whose request waits long for a slot; such a connection has received more requests than it
 * has sent responses.
 */
final class IdleConnectionHandler extends DelegatingEventHandler {
  // Accessed only by the connection's I/O thread.
  private long lastActivityNanos = System.nanoTime();
  private long lastResponseCount;

  private IdleConnectionHandler(IOEventHandler delegate) {
    super(delegate);
  }

  /** Decorates the handler of each connection that {@code factory} creates. */
  static IOEventHandlerFactory decorate(IOEventHandlerFactory factory) {
    return (session, attachment) ->
        new IdleConnectionHandler(factory.createHandler(session, attachment));
  }

  /**
   * Called at short intervals once there has been no traffic for {@code timeout}.
   *
   * <p>The library counts a response as sent before its first byte is written. If the connection
   * were closed at that moment after a long wait, the caller would see a closed connection instead
   * of the response. So the idle time restarts with each call that finds a pending request, or a
   * response sent since the previous call.
   */
  @Override
  public void timeout(IOSession session, Timeout timeout) {
    long now = System.nanoTime();
    EndpointDetails details = details();
    long responseCount = details.getResponseCount();
    if (details.getRequestCount() > responseCount || responseCount != lastResponseCount) {
      lastResponseCount = responseCount;
      lastActivityNanos = now;
    } else if (now - lastActivityNanos > timeout.toNanoseconds()) {
      // The library would reset the connection, and a caller that is sending a request could not
      // determine the cause.
      session.close(CloseMode.GRACEFUL);
    }
  }
}
