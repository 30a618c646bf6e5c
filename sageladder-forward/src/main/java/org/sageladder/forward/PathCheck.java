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
final class PathCheck {
  private static final int CONNECT_MILLIS = 500;

  /** More than a way there and back, also between regions. */
  private static final long SECOND_TRY_MILLIS = 250;

  private final Loop loop;
  private final TargetFacts target;
  private final Runnable reached;
  private final Runnable cutOff;
  private int failed;
  private boolean over;

  private PathCheck(Loop loop, TargetFacts target, Runnable reached, Runnable cutOff) {
    this.loop = loop;
    this.target = target;
    this.reached = reached;
    this.cutOff = cutOff;
  }

  /** Calls one of the two within 750 ms. */
  static void start(Loop loop, TargetFacts target, Runnable reached, Runnable cutOff) {
    PathCheck check = new PathCheck(loop, target, reached, cutOff);
    check.connect();
    var unused = loop.after(SECOND_TRY_MILLIS, check::connect);
  }

  private void connect() {
    if (over) {
      return;
    }
    loop.connect(target.host(), target.port(), CONNECT_MILLIS, new ChannelInboundHandlerAdapter())
        .addListener((ChannelFuture done) -> ended(done));
  }

  private void ended(ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      Sockets.close(connecting.channel());
      end(reached);
      return;
    }
    failed++;
    if (failed == 2) {
      end(cutOff);
    }
  }

  private void end(Runnable outcome) {
    if (!over) {
      over = true;
      outcome.run();
    }
  }
}
