package org.sageladder.platform.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.function.Decorator;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Closes a server's connection as soon as its client has closed it.
 *
 * <p>By default, HttpCore treats the end of a client's input during request processing as a
 * half-close and continues, so the work for a disconnected client occupies its slot to the end.
 * Closing the session when a read returns the end of input makes the library notify the exchange
 * handler ({@code failed}, then {@code releaseResources}) at once. A client that half-closes and
 * still waits for the response is disconnected too; HTTP clients do not do that.
 *
 * <pre>{@code
 * AsyncServerBootstrap.bootstrap().setIOSessionDecorator(DisconnectDetectingSession.decorator())
 * }</pre>
 */
public final class DisconnectDetectingSession extends DelegatingSession {
  private final IOSession session;

  private DisconnectDetectingSession(IOSession session) {
    super(session);
    this.session = session;
  }

  /** Returns a decorator for the sessions of a server. */
  public static Decorator<IOSession> decorator() {
    return DisconnectDetectingSession::new;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int read = session.read(target);
    if (read < 0) {
      session.close(CloseMode.IMMEDIATE);
    }
    return read;
  }
}
