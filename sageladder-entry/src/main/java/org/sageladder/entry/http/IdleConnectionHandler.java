package org.sageladder.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Closes connections on which nothing moves, but none whose caller waits for an answer.
 *
 * <p>Failure guarded against: callers that vanish without closing hold a descriptor each for ever,
 * and one day the port refuses everybody. The HTTP library's own timeout would also cut off a
 * caller whose export waits long for a slot; such a connection has more requests than answers.
 */
final class IdleConnectionHandler implements IOEventHandler {
  private final IOEventHandler delegate;

  // Both are used by the connection's one I/O thread alone.
  private long lastActivityNanos = System.nanoTime();
  private long lastResponseCount;

  private IdleConnectionHandler(IOEventHandler delegate) {
    this.delegate = delegate;
  }

  /** Decorates each connection that {@code factory} makes. */
  static IOEventHandlerFactory decorate(IOEventHandlerFactory factory) {
    return (session, attachment) ->
        new IdleConnectionHandler(factory.createHandler(session, attachment));
  }

  /**
   * Called at short intervals once nothing has moved for {@code timeout}.
   *
   * <p>Failure guarded against: an answer that comes after a long wait counts as given before its
   * first byte is written. Closed in that moment, the caller would see a cut connection in place of
   * it. So the time begins anew with each look that finds an answer awaited, or one given since.
   */
  @Override
  public void timeout(IOSession session, Timeout timeout) {
    long now = System.nanoTime();
    EndpointDetails details = ((HttpConnection) delegate).getEndpointDetails();
    long responseCount = details.getResponseCount();
    if (details.getRequestCount() > responseCount || responseCount != lastResponseCount) {
      lastResponseCount = responseCount;
      lastActivityNanos = now;
    } else if (now - lastActivityNanos > timeout.toNanoseconds()) {
      // The library would reset it, and a caller that sends at this moment could not tell why.
      session.close(CloseMode.GRACEFUL);
    }
  }

  @Override
  public void connected(IOSession session) throws IOException {
    delegate.connected(session);
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer bytes) throws IOException {
    delegate.inputReady(session, bytes);
  }

  @Override
  public void outputReady(IOSession session) throws IOException {
    delegate.outputReady(session);
  }

  @Override
  public void exception(IOSession session, Exception cause) {
    delegate.exception(session, cause);
  }

  @Override
  public void disconnected(IOSession session) {
    delegate.disconnected(session);
  }
}
