package org.sageladder.http;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Observes the beginnings and ends of connections; a subclass overrides what it wants to know.
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
  /** An observer that ignores all news. */
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
