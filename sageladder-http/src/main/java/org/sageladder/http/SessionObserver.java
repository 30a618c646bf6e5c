package org.sageladder.http;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Session listener with empty methods; a subclass overrides those for the events that it needs.
 *
 * <pre>{@code
 * new SessionObserver() {
 *   public void connected(IOSession session) {
 *     session.setSocketTimeout(Timeout.DISABLED);
 *   }
 * }
 * }</pre>
 */
public abstract class SessionObserver implements IOSessionListener {
  /** Creates an observer that ignores all events. */
  protected SessionObserver() {}

  @Override
  public void connected(IOSession session) {}

  @Override
  public void startTls(IOSession session) {}

  @Override
  public void inputReady(IOSession session) {}

  @Override
  public void outputReady(IOSession session) {}

  @Override
  public void timeout(IOSession session) {}

  @Override
  public void exception(IOSession session, Exception cause) {}

  @Override
  public void disconnected(IOSession session) {}
}
