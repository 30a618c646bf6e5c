package org.sageladder.platform.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.function.Decorator;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

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
public final class DisconnectDetectingSession implements IOSession {
  private final IOSession session;

  private DisconnectDetectingSession(IOSession session) {
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

  @Override
  public int write(ByteBuffer source) throws IOException {
    return session.write(source);
  }

  @Override
  public boolean isOpen() {
    return session.isOpen();
  }

  @Override
  public String getId() {
    return session.getId();
  }

  @Override
  public IOEventHandler getHandler() {
    return session.getHandler();
  }

  @Override
  public void upgrade(IOEventHandler handler) {
    session.upgrade(handler);
  }

  @Override
  public Lock getLock() {
    return session.getLock();
  }

  @Override
  public void enqueue(Command command, Command.Priority priority) {
    session.enqueue(command, priority);
  }

  @Override
  public boolean hasCommands() {
    return session.hasCommands();
  }

  @Override
  public Command poll() {
    return session.poll();
  }

  @Override
  public ByteChannel channel() {
    return session.channel();
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return session.getRemoteAddress();
  }

  @Override
  public SocketAddress getLocalAddress() {
    return session.getLocalAddress();
  }

  @Override
  public int getEventMask() {
    return session.getEventMask();
  }

  @Override
  public void setEventMask(int events) {
    session.setEventMask(events);
  }

  @Override
  public void setEvent(int event) {
    session.setEvent(event);
  }

  @Override
  public void clearEvent(int event) {
    session.clearEvent(event);
  }

  @Override
  public void close() {
    session.close();
  }

  @Override
  public void close(CloseMode mode) {
    session.close(mode);
  }

  @Override
  public Status getStatus() {
    return session.getStatus();
  }

  @Override
  public Timeout getSocketTimeout() {
    return session.getSocketTimeout();
  }

  @Override
  public void setSocketTimeout(Timeout timeout) {
    session.setSocketTimeout(timeout);
  }

  @Override
  public long getLastReadTime() {
    return session.getLastReadTime();
  }

  @Override
  public long getLastWriteTime() {
    return session.getLastWriteTime();
  }

  @Override
  public long getLastEventTime() {
    return session.getLastEventTime();
  }

  @Override
  public void updateReadTime() {
    session.updateReadTime();
  }

  @Override
  public void updateWriteTime() {
    session.updateWriteTime();
  }
}
