package org.sageladder.forward;

import io.netty.channel.ChannelFuture;

/**
 * Checks with a new connection whether a target or another entry VM is still reachable.
 *
 * <p>A request without a response may be running, or may be queued in this machine's kernel because
 * the network path is cut. In the second case the kernel retransmits it until its connection is
 * reset, and once the kernel has dropped the connection by itself, there is nothing left to reset.
 * Therefore keep-alive probes stay disabled on a connection with a request in flight; this check
 * replaces them, and the caller of this class resets the connection in time.
 *
 * <p>A target counts as unreachable only after a second connection attempt, since a single one may
 * fail by chance.
 */
final class ReachabilityCheck {
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Longer than the round-trip time, also between regions. */
  private static final long SECOND_ATTEMPT_DELAY_MILLIS = 250;

  private final Loop loop;
  private final String host;
  private final int port;
  private final Runnable onReachable;
  private final Runnable onUnreachable;
  private int failedCount;
  private boolean isFinished;

  private ReachabilityCheck(
      Loop loop, String host, int port, Runnable onReachable, Runnable onUnreachable) {
    this.loop = loop;
    this.host = host;
    this.port = port;
    this.onReachable = onReachable;
    this.onUnreachable = onUnreachable;
  }

  /** Starts a check that calls one of the two callbacks within 750 ms. */
  static void start(
      Loop loop, String host, int port, Runnable onReachable, Runnable onUnreachable) {
    ReachabilityCheck check = new ReachabilityCheck(loop, host, port, onReachable, onUnreachable);
    check.connect();
    var unused = loop.schedule(SECOND_ATTEMPT_DELAY_MILLIS, check::connect);
  }

  private void connect() {
    if (isFinished) {
      return;
    }
    loop.connect(host, port, CONNECT_TIMEOUT_MILLIS, new ProbeHandler())
        .addListener((ChannelFuture done) -> onConnectResult(done));
  }

  private void onConnectResult(ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      Sockets.close(connecting.channel());
      finish(onReachable);
      return;
    }
    failedCount++;
    if (failedCount == 2) {
      finish(onUnreachable);
    }
  }

  private void finish(Runnable outcome) {
    if (!isFinished) {
      isFinished = true;
      outcome.run();
    }
  }
}
