package org.sageladder.forward.peer;

import java.util.Collection;
import java.util.List;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.observation.ObservationDigest;
import org.sageladder.core.observation.ZoneObservations;
import org.sageladder.forward.Forwarder;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Metrics;
import org.sageladder.forward.control.EntryVm;

/** Exchanges digests of observations with the other entry VMs of the zone. */
final class ObservationExchange implements ZoneObservations.Peers {
  /** Maximum number of VMs that a log line names. */
  private static final int MAX_LOGGED_NAMES = 3;

  /** Sends a datagram to the VM of a name; returns false if the VM receives none. */
  @FunctionalInterface
  interface DatagramSender {
    boolean send(String vm, byte[] bytes);
  }

  private final Loop loop;
  private final ZoneObservations observations;
  private final String zone;
  private final DatagramSender sender;
  private final EventSink log;
  private final Metrics metrics;

  ObservationExchange(
      Loop loop, Forwarder forwarder, String zone, DatagramSender sender, EventSink log) {
    this.loop = loop;
    this.observations = forwarder.observations();
    this.zone = zone;
    this.sender = sender;
    this.log = log;
    this.metrics = forwarder.metrics();
    observations.connectPeers(this);
  }

  /** Updates the list of live VMs, of all zones. */
  void updateLiveVms(Collection<EntryVm> vms) {
    observations.updateZoneVms(
        vms.stream()
            .filter(vm -> vm.zone().equals(zone) && !vm.peerAddress().isEmpty())
            .map(EntryVm::name)
            .toList());
  }

  /** Applies a digest of the VM named {@code from}. */
  void onDatagram(String from, byte[] bytes) {
    ObservationDigest digest;
    try {
      digest = ObservationCodec.decode(bytes);
    } catch (QuotaCodec.MalformedException e) {
      metrics.count("observation_digests_malformed");
      return;
    }
    ZoneObservations.Effect effect =
        observations.onDigest(from, digest, loop.nowMillis(), loop.wallMillis());
    metrics.count(effect.isStale() ? "observation_digests_stale" : "observation_digests_received");
    metrics.add("observations_applied", effect.appliedCount());
  }

  @Override
  public void send(Collection<String> vms, ObservationDigest digest) {
    byte[] bytes = ObservationCodec.encode(digest);
    for (String vm : vms) {
      if (sender.send(vm, bytes)) {
        metrics.count("observation_digests_sent");
      }
    }
  }

  @Override
  public void scheduleTick() {
    var unused =
        loop.schedule(
            ZoneObservations.INTERVAL_MILLIS,
            () -> observations.tick(loop.nowMillis(), loop.wallMillis()));
  }

  @Override
  public void onSilent(List<String> vms) {
    logPeers("no observations received any more from ", vms);
  }

  @Override
  public void onHeardAgain(List<String> vms) {
    logPeers("observations received again from ", vms);
  }

  private void logPeers(String what, List<String> vms) {
    List<String> named = vms.subList(0, Math.min(MAX_LOGGED_NAMES, vms.size()));
    int others = vms.size() - named.size();
    String detail = what + String.join(", ", named);
    log.record(
        EventKind.VIEW_CHANGED,
        "",
        "",
        "peers",
        0,
        others == 0 ? detail : detail + " and " + others + " others");
  }
}
