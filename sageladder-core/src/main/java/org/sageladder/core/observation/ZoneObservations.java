package org.sageladder.core.observation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.core.placing.LoadReport;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;

/**
 * Shares what one entry VM observes of targets with the other entry VMs of its zone.
 *
 * <p>Each VM sends its recent observations to its peers at intervals, and applies theirs to its own
 * estimates. Digests may be lost, delayed, duplicated or reordered: each counts at most once, and
 * none is acknowledged or repeated.
 *
 * <pre>{@code
 * ZoneObservations observations = ZoneObservations.of("e-1", targets, nowMillis, wallMillis);
 * observations.connectPeers(peers);
 * observations.updateZoneVms(List.of("e-1", "e-2"));
 * observations.record(target, object, load, nowMillis, wallMillis);
 * observations.tick(nowMillis, wallMillis); // sends a digest to the peers
 * }</pre>
 *
 * <p>Sends nothing for a VM that is alone in its zone or has observed nothing. Not thread-safe.
 */
public final class ZoneObservations {
  /**
   * Interval of digests: about the half-life of a load report. Shorter intervals cost more than the
   * observations themselves in headers and wake-ups.
   */
  public static final long INTERVAL_MILLIS = 500;

  /** Maximum age of an observation that is sent; a load report says little after that. */
  public static final int MAX_AGE_MILLIS = 2_000;

  /** Maximum number of observations in a digest, so that it fits into one datagram. */
  public static final int MAX_ENTRIES = 74;

  /** Maximum number of VMs to which a digest is sent: all others of a zone of usual size. */
  private static final int MAX_PEERS = 20;

  /** Maximum number of observations sent per second to all peers, to spare slow links. */
  private static final int MAX_SENT_ENTRIES_PER_SECOND = 800;

  /** Time after which a peer that sent digests before counts as silent. */
  private static final long SILENT_AFTER_MILLIS = 5_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Connection to the other entry VMs of the zone, and the timer. */
  public interface Peers {
    /** Sends a digest to the VMs of these names; it may be lost. */
    void send(Collection<String> vms, ObservationDigest digest);

    /** Calls {@link ZoneObservations#tick} after {@link #INTERVAL_MILLIS}. */
    void scheduleTick();

    /** These peers have sent no digest for a while. */
    void onSilent(List<String> vms);

    /** These peers were silent and have sent a digest again. */
    void onHeardAgain(List<String> vms);
  }

  /**
   * The effect of a digest.
   *
   * @param isStale true if it was ignored: a duplicate, possibly old, or not from the zone
   * @param appliedCount observations that were applied
   */
  public record Effect(boolean isStale, int appliedCount) {
    private static final Effect IGNORED = new Effect(true, 0);
  }

  private final String self;
  private final int processStart;
  private final TargetTable targets;
  private final ObservationBuffer buffer = new ObservationBuffer(MAX_ENTRIES, MAX_AGE_MILLIS);
  private final PauseDetector pauseDetector;
  private final PeerSilence peerSilence = new PeerSilence(SILENT_AFTER_MILLIS);
  private final Map<String, ReceivedSequences> receivedByPeer = new HashMap<>();
  private Set<String> zonePeers = Set.of();
  private List<String> receivers = List.of();
  private @Nullable Peers peers;
  private boolean tickScheduled;
  private int lastSequence;
  private long lastTickMillis;
  private long distrustUntilMillis = Long.MIN_VALUE;

  private ZoneObservations(String self, TargetTable targets, long nowMillis, long wallMillis) {
    this.self = self;
    this.targets = targets;
    this.processStart = Long.hashCode(wallMillis);
    this.pauseDetector = new PauseDetector(nowMillis, wallMillis);
  }

  /**
   * Creates the observations of a VM that has just started, which shares nothing yet.
   *
   * @param self name of the VM
   * @param targets the targets whose estimates are updated
   */
  public static ZoneObservations of(
      String self, TargetTable targets, long nowMillis, long wallMillis) {
    return new ZoneObservations(self, targets, nowMillis, wallMillis);
  }

  /** Shares observations with the VMs reached through {@code newPeers} from now on. */
  public void connectPeers(Peers newPeers) {
    peers = newPeers;
  }

  /** Updates the list of live VMs in the zone. */
  public void updateZoneVms(Collection<String> names) {
    Set<String> others = new HashSet<>(names);
    others.remove(self);
    if (others.equals(zonePeers)) {
      return;
    }
    zonePeers = Set.copyOf(others);
    List<String> ranked = Rendezvous.rank(self, others);
    receivers = List.copyOf(ranked.subList(0, Math.min(MAX_PEERS, ranked.size())));
    targets.updateReportingVmCount(receivers.size() + 1);
    receivedByPeer.keySet().retainAll(others);
    peerSilence.retain(others);
  }

  /**
   * Records what a response showed.
   *
   * @param object hash of the object that the target has run; 0 if it ran none
   * @param load load that the target reported, or null
   */
  public void record(
      TargetState target, long object, @Nullable LoadReport load, long nowMillis, long wallMillis) {
    boolean hasContent = object != 0 || load != null;
    if (peers == null
        || receivers.isEmpty()
        || !hasContent
        || isDistrusted(nowMillis, wallMillis)) {
      return;
    }
    buffer.add(new TargetObservation(target.incarnationHash(), object, load, nowMillis));
    scheduleTick(nowMillis);
  }

  /** Sends the observations since the last digest. */
  public void tick(long nowMillis, long wallMillis) {
    tickScheduled = false;
    Peers connected = peers;
    if (connected == null) {
      return;
    }
    boolean isDistrusted = isDistrusted(nowMillis, wallMillis);
    pauseDetector.clearTimer();
    List<ObservationDigest.Entry> entries = buffer.drain(maxEntries(), nowMillis);
    if (!isDistrusted && !entries.isEmpty() && !receivers.isEmpty()) {
      lastSequence++;
      connected.send(receivers, new ObservationDigest(processStart, lastSequence, entries));
      scheduleTick(nowMillis);
    }
    reportSilence(connected, isDistrusted, nowMillis);
  }

  /** The number of observations per digest decreases with the number of receivers. */
  private int maxEntries() {
    double perSecond = (double) MAX_SENT_ENTRIES_PER_SECOND / Math.max(1, receivers.size());
    return (int) Math.min(MAX_ENTRIES, perSecond * INTERVAL_MILLIS / MILLIS_PER_SECOND);
  }

  private void reportSilence(Peers connected, boolean isDistrusted, long nowMillis) {
    List<String> heardAgain = peerSilence.takeHeardAgain();
    if (!heardAgain.isEmpty()) {
      connected.onHeardAgain(heardAgain);
    }
    if (isDistrusted || nowMillis - lastTickMillis > SILENT_AFTER_MILLIS) {
      peerSilence.restart(nowMillis);
    }
    lastTickMillis = nowMillis;
    List<String> newlySilent = peerSilence.takeNewlySilent(nowMillis);
    if (!newlySilent.isEmpty()) {
      connected.onSilent(newlySilent);
    }
  }

  private void scheduleTick(long nowMillis) {
    Peers connected = peers;
    if (connected != null && !tickScheduled) {
      tickScheduled = true;
      pauseDetector.expectTimerAt(nowMillis + INTERVAL_MILLIS);
      connected.scheduleTick();
    }
  }

  /**
   * Returns true if this process has paused a moment ago. What it reads then may have waited in its
   * sockets since before the pause, and its age is unknown.
   */
  private boolean isDistrusted(long nowMillis, long wallMillis) {
    if (pauseDetector.hasPaused(nowMillis, wallMillis)) {
      buffer.clear();
      distrustUntilMillis = nowMillis + INTERVAL_MILLIS;
    }
    return nowMillis < distrustUntilMillis;
  }

  /** Applies a digest of the VM named {@code from}. */
  public Effect onDigest(String from, ObservationDigest digest, long nowMillis, long wallMillis) {
    if (!zonePeers.contains(from)) {
      return Effect.IGNORED;
    }
    boolean isNew =
        receivedByPeer
            .computeIfAbsent(from, name -> new ReceivedSequences())
            .add(digest.processStart(), digest.sequence());
    boolean isDistrusted = isDistrusted(nowMillis, wallMillis);
    peerSilence.recordHeard(from, nowMillis);
    // Also without own observations, so that a pause of this process is noticed.
    scheduleTick(nowMillis);
    if (!isNew || isDistrusted) {
      return Effect.IGNORED;
    }
    int appliedCount = 0;
    // Oldest first, so that the order in which a target ran its objects is kept.
    for (int i = digest.entries().size() - 1; i >= 0; i--) {
      if (apply(digest.entries().get(i), nowMillis)) {
        appliedCount++;
      }
    }
    return new Effect(false, appliedCount);
  }

  private boolean apply(ObservationDigest.Entry entry, long nowMillis) {
    TargetState target = targets.findByIncarnationHash(entry.targetHash());
    if (target == null || entry.ageMillis() < 0 || entry.ageMillis() > MAX_AGE_MILLIS) {
      return false;
    }
    ObservationDigest.Load load = entry.load();
    if (load != null) {
      int slots = target.facts().slots();
      target.recordReport(
          new LoadReport(load.running(), load.waiting(), slots, load.runTimeFactor()),
          nowMillis - entry.ageMillis());
    }
    // A target that has just turned cold may have run the object before that.
    if (entry.object() != 0 && !target.isCold(nowMillis)) {
      target.recordObject(entry.object());
    }
    return true;
  }
}
