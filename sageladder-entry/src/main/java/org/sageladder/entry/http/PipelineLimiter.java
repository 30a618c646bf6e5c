package org.sageladder.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Stops reading a connection while many of its requests are unanswered, or their responses unread.
 *
 * <p>The HTTP library reads and starts pipelined requests without a limit.
 */
final class PipelineLimiter extends DelegatingEventHandler {
  private static final int MAX_UNANSWERED_REQUESTS = 16;

  // Accessed only by the connection's I/O thread.
  private boolean isPaused;

  private PipelineLimiter(IOEventHandler delegate) {
    super(delegate);
  }

  /** Decorates the handler of each connection that {@code factory} creates. */
  static IOEventHandlerFactory decorate(IOEventHandlerFactory factory) {
    return (session, attachment) -> new PipelineLimiter(factory.createHandler(session, attachment));
  }

  private boolean isFull() {
    return details().getRequestCount() - details().getResponseCount() >= MAX_UNANSWERED_REQUESTS;
  }

  @Override
  public void inputReady(IOSession session, ByteBuffer bytes) throws IOException {
    if (!isFull()) {
      super.inputReady(session, bytes);
    }
    if (isFull()) {
      isPaused = true;
      session.clearEvent(SelectionKey.OP_READ);
    }
  }

  @Override
  public void outputReady(IOSession session) throws IOException {
    super.outputReady(session);
    resume(session);
  }

  @Override
  public void timeout(IOSession session, Timeout timeout) throws IOException {
    super.timeout(session, timeout);
    resume(session);
  }

  private void resume(IOSession session) {
    if (isPaused && !isFull()) {
      isPaused = false;
      session.setEvent(SelectionKey.OP_READ);
    }
  }
}
