package org.sageladder.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** Passes each event of a connection on to another handler; subclasses change some of them. */
abstract class DelegatingEventHandler implements IOEventHandler {
  private final IOEventHandler delegate;

  DelegatingEventHandler(IOEventHandler delegate) {
    this.delegate = delegate;
  }

  /** Counts of the connection's requests and responses. */
  final EndpointDetails details() {
    return delegate instanceof DelegatingEventHandler handler
        ? handler.details()
        : ((HttpConnection) delegate).getEndpointDetails();
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
  public void timeout(IOSession session, Timeout timeout) throws IOException {
    delegate.timeout(session, timeout);
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
