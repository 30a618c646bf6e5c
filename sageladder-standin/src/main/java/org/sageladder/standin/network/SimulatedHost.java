package org.sageladder.standin.network;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * A machine of the network: up, suspended, or without power; runs what its process has to do.
 *
 * <p>As an executor it runs tasks at once while it is up, keeps them while it is suspended, and
 * drops those of a process that has ended.
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

  /** Its IP number. */
  public String ip() {
    return ip;
  }

  /** Availability zone that it is in. */
  public String zone() {
    return zone;
  }

  /** Region that it is in. */
  public String region() {
    return region;
  }

  boolean isCallerHost() {
    return isCallerHost;
  }

  /** False where it has no power: it answers nothing, not even with a reset. */
  public boolean isPowered() {
    return isPowered;
  }

  /**
   * What runs the tasks of the process that runs there now; once that process has ended they are
   * dropped, also where another one runs by then.
   */
  public Executor processExecutor() {
    int mine = processEpoch;
    return task -> {
      if (processEpoch == mine) {
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

  /** Ends its process; the kernel resets its connections and closes its ports. */
  public void kill() {
    endProcess(true);
  }

  /** Takes its power away; nobody is told. */
  public void powerOff() {
    isPowered = false;
    endProcess(false);
  }

  /** Gives it power again; its process has to be started anew. */
  public void powerOn() {
    isPowered = true;
  }

  /** Lets everything on it stand still. */
  public void suspend() {
    isSuspended = true;
  }

  /** Goes on where it stood still. */
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
    // In the order of their opening: an unordered copy would differ from one JVM to the next.
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

  /** Its connections, in the order in which they were opened. */
  Set<SimulatedChannel> channels() {
    return new LinkedHashSet<>(channels);
  }

  @Override
  public String toString() {
    return ip;
  }
}
