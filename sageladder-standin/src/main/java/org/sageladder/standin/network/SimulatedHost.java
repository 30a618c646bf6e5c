package org.sageladder.standin.network;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * A host of the simulated network, which is running, suspended or powered off.
 *
 * <p>As an executor it runs tasks immediately while it is running, defers them while it is
 * suspended, and drops them while it is powered off.
 */
public final class SimulatedHost implements Executor {
  private final SimulatedNetwork network;
  private final String ip;
  private final String zone;
  private final String region;
  private final boolean isCallerHost;
  private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
  private final Set<SimulatedChannel> channels = new LinkedHashSet<>();
  private boolean isPowered = true;
  private boolean isSuspended;
  private int processEpoch;

  SimulatedHost(
      SimulatedNetwork network, String ip, String zone, String region, boolean isCallerHost) {
    this.isCallerHost = isCallerHost;
    this.network = network;
    this.ip = ip;
    this.zone = zone;
    this.region = region;
  }

  /** Returns the IP address. */
  public String ip() {
    return ip;
  }

  /** Returns the availability zone. */
  public String zone() {
    return zone;
  }

  /** Returns the region. */
  public String region() {
    return region;
  }

  boolean isCallerHost() {
    return isCallerHost;
  }

  /** Returns false if the host is powered off: it does not even answer with a reset. */
  public boolean isPowered() {
    return isPowered;
  }

  /**
   * Returns an executor for the current process. Once that process has ended, its tasks are
   * dropped, even if another process is running by then.
   */
  public Executor processExecutor() {
    int ownEpoch = processEpoch;
    return task -> {
      if (processEpoch == ownEpoch) {
        execute(task);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    if (isSuspended) {
      deferredTasks.add(task);
      return;
    }
    if (isPowered) {
      task.run();
    }
  }

  /** Kills the process; the kernel resets its connections and closes its ports. */
  public void kill() {
    endProcess(true);
  }

  /** Powers the host off; its peers receive no reset. */
  public void powerOff() {
    isPowered = false;
    endProcess(false);
  }

  /** Powers the host on; its process has to be started again. */
  public void powerOn() {
    isPowered = true;
  }

  /** Suspends the host; its tasks are deferred. */
  public void suspend() {
    isSuspended = true;
  }

  /** Resumes the host and runs the deferred tasks. */
  public void resume() {
    isSuspended = false;
    while (!isSuspended && !deferredTasks.isEmpty()) {
      deferredTasks.remove().run();
    }
  }

  private void endProcess(boolean resetsPeers) {
    processEpoch++;
    isSuspended = false;
    deferredTasks.clear();
    network.closePorts(this);
    // In the order of opening: the order of an unordered copy would differ between JVMs.
    List<SimulatedChannel> open = List.copyOf(channels);
    channels.clear();
    open.forEach(channel -> channel.closeWithProcess(resetsPeers));
  }

  void addChannel(SimulatedChannel channel) {
    channels.add(channel);
  }

  void removeChannel(SimulatedChannel channel) {
    channels.remove(channel);
  }

  /** Returns the open connections, in the order in which they were opened. */
  Set<SimulatedChannel> channels() {
    return new LinkedHashSet<>(channels);
  }

  @Override
  public String toString() {
    return ip;
  }
}
