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
  private final boolean callers;
  private final Queue<Runnable> kept = new ArrayDeque<>();
  private final Set<SimulatedChannel> channels = new LinkedHashSet<>();
  private boolean powered = true;
  private boolean suspended;
  private int life;

  SimulatedHost(SimulatedNetwork network, String ip, String zone, String region, boolean callers) {
    this.callers = callers;
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

  boolean isCallers() {
    return callers;
  }

  /** False where it has no power: it answers nothing, not even with a reset. */
  public boolean isPowered() {
    return powered;
  }

  /**
   * What runs the tasks of the process that runs there now; once that process has ended they are
   * dropped, also where another one runs by then.
   */
  public Executor process() {
    int mine = life;
    return task -> {
      if (life == mine) {
        execute(task);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    if (suspended) {
      kept.add(task);
      return;
    }
    if (powered) {
      task.run();
    }
  }

  /** Ends its process; the kernel resets its connections and closes its ports. */
  public void kill() {
    endProcess(true);
  }

  /** Takes its power away; nobody is told. */
  public void powerOff() {
    powered = false;
    endProcess(false);
  }

  /** Gives it power again; its process has to be started anew. */
  public void powerOn() {
    powered = true;
  }

  /** Lets everything on it stand still. */
  public void suspend() {
    suspended = true;
  }

  /** Goes on where it stood still. */
  public void resume() {
    suspended = false;
    while (!suspended && !kept.isEmpty()) {
      kept.remove().run();
    }
  }

  private void endProcess(boolean tellPeers) {
    life++;
    suspended = false;
    kept.clear();
    network.closePorts(this);
    // In the order of their opening: an unordered copy would differ from one JVM to the next.
    List<SimulatedChannel> open = List.copyOf(channels);
    channels.clear();
    open.forEach(channel -> channel.die(tellPeers));
  }

  void opened(SimulatedChannel channel) {
    channels.add(channel);
  }

  void closed(SimulatedChannel channel) {
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
