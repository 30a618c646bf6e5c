package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.sageladder.core.placing.TargetFacts;

/**
 * Finds out by a new connection whether a target can still be reached.
 *
 * <p>A request that has no answer yet may be running, or lie with this machine's kernel behind a
 * cut. The second goes on being sent until its connection is reset, and once the kernel itself has
 * given the connection up, there is nothing left to reset. So the kernel does not watch a
 * connection while a request is out on it; this check does, and its caller resets in time.
 *
 * <p>A second connection is tried before the target counts as cut off: one may be lost by chance.
 */
final class ReachabilityCheck {
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** More than a way there and back, also between regions. */
  private static final long SECOND_ATTEMPT_DELAY_MILLIS = 250;

  private final Loop loop;
  private final TargetFacts target;
  private final Runnable onReachable;
  private final Runnable onUnreachable;
  private int failedCount;
  private boolean isFinished;

  private ReachabilityCheck(
      Loop loop, TargetFacts target, Runnable onReachable, Runnable onUnreachable) {
    this.loop = loop;
    this.target = target;
    this.onReachable = onReachable;
    this.onUnreachable = onUnreachable;
  }

  /** Calls one of the two within 750 ms. */
  static void start(Loop loop, TargetFacts target, Runnable onReachable, Runnable onUnreachable) {
    ReachabilityCheck check = new ReachabilityCheck(loop, target, onReachable, onUnreachable);
    check.connect();
    var unused = loop.schedule(SECOND_ATTEMPT_DELAY_MILLIS, check::connect);
  }

  private void connect() {
    if (isFinished) {
      return;
    }
    loop.connect(
            target.host(),
            target.port(),
            CONNECT_TIMEOUT_MILLIS,
            new ChannelInboundHandlerAdapter())
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
