package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetReachability;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;

/**
 * Opens a connection to one lost target at a time, until the targets can be reached again. While no
 * targets are lost it does nothing.
 */
final class TargetProber {
  private static final long PROBE_INTERVAL_MILLIS = 500;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final Loop loop;
  private final TargetTable targets;
  private final TargetReachability reachability;
  private final DoubleSupplier randomFraction;
  private final Consumer<TargetFacts> onReached;
  private boolean isScheduled;

  /**
   * Creates a prober that is idle.
   *
   * @param onReached receives a target that has accepted a connection
   */
  TargetProber(
      Loop loop,
      TargetTable targets,
      TargetReachability reachability,
      DoubleSupplier randomFraction,
      Consumer<TargetFacts> onReached) {
    this.loop = loop;
    this.targets = targets;
    this.reachability = reachability;
    this.randomFraction = randomFraction;
    this.onReached = onReached;
  }

  /** Starts probing if targets are lost. */
  void start() {
    boolean anyLost = reachability.areAllLost() || !reachability.lostServices().isEmpty();
    if (anyLost && !isScheduled) {
      isScheduled = true;
      var unused = loop.schedule(PROBE_INTERVAL_MILLIS, this::probeNext);
    }
  }

  private void probeNext() {
    isScheduled = false;
    if (reachability.areAllLost()) {
      probeOneOf(targets.all());
    } else {
      reachability.lostServices().forEach(service -> probeOneOf(targets.ofService(service)));
    }
    forgetRemovedTargets();
    start();
  }

  private void forgetRemovedTargets() {
    long now = loop.nowMillis();
    if (targets.size() == 0) {
      reachability.forgetAll(now);
    }
    for (String service : reachability.lostServices()) {
      if (targets.countOfService(service) == 0) {
        reachability.forgetService(service, now);
      }
    }
  }

  private void probeOneOf(List<TargetState> candidates) {
    if (candidates.isEmpty()) {
      return;
    }
    int index = (int) (randomFraction.getAsDouble() * candidates.size());
    TargetFacts target = candidates.get(Math.min(index, candidates.size() - 1)).facts();
    loop.connect(target.host(), target.port(), CONNECT_TIMEOUT_MILLIS, new ProbeHandler())
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                Sockets.close(done.channel());
                onReached.accept(target);
              }
            });
  }
}
