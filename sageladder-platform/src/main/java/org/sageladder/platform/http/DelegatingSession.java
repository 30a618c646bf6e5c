package org.sageladder.platform.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** A connection that passes each call on to another one; subclasses change some of them. */
abstract class DelegatingSession implements IOSession {
  private final IOSession session;

  DelegatingSession(IOSession session) {
    this.session = session;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return session.read(target);
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
