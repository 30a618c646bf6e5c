package org.sageladder.platform.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.function.Decorator;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Closes a server's connection in two steps, so that the client can read the last response.
 *
 * <p>A server may respond before it has read the whole request, for instance to a head that is too
 * large. If it then closes the connection with bytes unread, the kernel resets it. The reset
 * discards the response if the client has not read it yet, and fails the client's writes. So only
 * the sending direction is closed first; what still arrives is discarded, for a limited time and
 * number of bytes, until the client closes the connection.
 *
 * <pre>{@code
 * Decorator<IOSession> lingering = LingeringSession.decorator(maxLingering);
 * }</pre>
 */
public final class LingeringSession extends DelegatingSession {
  private static final Timeout MAX_LINGER = Timeout.ofSeconds(1);
  private static final long MAX_DISCARDED_BYTES = 4 << 20;
  private static final int BUFFER_BYTES = 8 << 10;

  private final IOSession session;
  private final AtomicInteger lingeringCount;
  private final int maxLingering;
  private volatile boolean isLingering;

  private LingeringSession(IOSession session, AtomicInteger lingeringCount, int maxLingering) {
    super(session);
    this.session = session;
    this.lingeringCount = lingeringCount;
    this.maxLingering = maxLingering;
  }

  /**
   * Returns a decorator for the sessions of a server.
   *
   * @param maxLingering maximum number of connections that wait for their clients to close them;
   *     further ones are closed at once
   */
  public static Decorator<IOSession> decorator(int maxLingering) {
    AtomicInteger lingeringCount = new AtomicInteger();
    return session -> new LingeringSession(session, lingeringCount, maxLingering);
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return isLingering ? 0 : super.read(target);
  }

  @Override
  public void setEventMask(int events) {
    ignoreIfEnded(() -> session.setEventMask(events));
  }

  @Override
  public void setEvent(int event) {
    ignoreIfEnded(() -> session.setEvent(event));
  }

  @Override
  public void clearEvent(int event) {
    ignoreIfEnded(() -> session.clearEvent(event));
  }

  /**
   * Other threads request events of a connection that the reactor may just have ended; they learn
   * of its end by the handler.
   */
  private static void ignoreIfEnded(Runnable change) {
    try {
      change.run();
    } catch (CancelledKeyException e) {
      // Nothing is left to be notified of.
    }
  }

  @Override
  public boolean isOpen() {
    return !isLingering && super.isOpen();
  }

  @Override
  public void close() {
    close(CloseMode.GRACEFUL);
  }

  @Override
  public void close(CloseMode mode) {
    if (mode == CloseMode.IMMEDIATE) {
      super.close(mode);
      return;
    }
    getLock().lock();
    try {
      if (!isLingering && !startLingering()) {
        super.close(mode);
      }
    } finally {
      getLock().unlock();
    }
  }

  private boolean startLingering() {
    if (!session.isOpen() || !(session.channel() instanceof SocketChannel socket)) {
      return false;
    }
    if (lingeringCount.incrementAndGet() > maxLingering) {
      lingeringCount.decrementAndGet();
      return false;
    }
    try {
      socket.shutdownOutput();
    } catch (IOException e) {
      // The client has closed or reset the connection: there is nothing to wait for.
      lingeringCount.decrementAndGet();
      return false;
    }
    isLingering = true;
    session.upgrade(new Discarder(session.getHandler()));
    session.setSocketTimeout(MAX_LINGER);
    setEventMask(SelectionKey.OP_READ);
    return true;
  }

  /** Discards what still arrives, then closes the connection. */
  private final class Discarder implements IOEventHandler {
    private final IOEventHandler previous;
    private final long startedAtNanos = System.nanoTime();
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private long discardedBytes;

    Discarder(IOEventHandler previous) {
      this.previous = previous;
    }

    @Override
    public void connected(IOSession connection) {}

    @Override
    public void inputReady(IOSession connection, ByteBuffer bytes) throws IOException {
      int read = session.read(buffer.clear());
      while (read > 0) {
        discardedBytes += read;
        if (discardedBytes > MAX_DISCARDED_BYTES || isTimeOver()) {
          break;
        }
        read = session.read(buffer.clear());
      }
      if (read != 0) {
        session.close(CloseMode.GRACEFUL);
      }
    }

    private boolean isTimeOver() {
      return System.nanoTime() - startedAtNanos > MAX_LINGER.toNanoseconds();
    }

    @Override
    public void outputReady(IOSession connection) {
      clearEvent(SelectionKey.OP_WRITE);
    }

    @Override
    public void timeout(IOSession connection, Timeout timeout) {
      session.close(CloseMode.GRACEFUL);
    }

    @Override
    public void exception(IOSession connection, Exception cause) {
      session.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void disconnected(IOSession connection) {
      lingeringCount.decrementAndGet();
      previous.disconnected(connection);
    }
  }
}
