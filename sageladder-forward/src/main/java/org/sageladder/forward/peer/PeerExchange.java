package org.sageladder.forward.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quota.QuotaChange;
import org.sageladder.core.quota.QuotaMessage;
import org.sageladder.core.quota.Quotas;
import org.sageladder.forward.DatagramPort;
import org.sageladder.forward.Forwarder;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Metrics;
import org.sageladder.forward.control.EntryVm;

/**
 * Exchanges quota messages and observations of targets with other entry VMs, one per datagram.
 *
 * <p>Only datagrams from the address of a VM in the platform's list are accepted. Messages are
 * still exchanged with VMs that left the list, since registrations lapse while the store is down or
 * turns a VM away, and such a VM goes on serving.
 */
public final class PeerExchange implements Quotas.Peers {
  /** Maximum number of VMs that are remembered after they left the list. */
  private static final int MAX_FORMER_VMS = 1_000;

  private final Loop loop;
  private final Forwarder forwarder;
  private final EventSink log;
  private final Metrics metrics;
  private final ObservationExchange observations;
  private final Map<String, EntryVm> liveVmsByName = new HashMap<>();
  private final Map<String, EntryVm> knownVmsByName = new LinkedHashMap<>();
  private final Map<String, String> nameByAddress = new HashMap<>();
  private @Nullable DatagramPort port;

  private PeerExchange(Loop loop, Forwarder forwarder, EntryVm self, EventSink log) {
    this.loop = loop;
    this.forwarder = forwarder;
    this.log = log;
    this.metrics = forwarder.metrics();
    this.observations = new ObservationExchange(loop, forwarder, self.zone(), this::send, log);
  }

  /**
   * Opens the port of {@code self} for datagrams; if that fails, the VM enforces quotas without its
   * peers and knows only its own observations.
   */
  public static PeerExchange open(Loop loop, Forwarder forwarder, EntryVm self, EventSink log) {
    PeerExchange exchange = new PeerExchange(loop, forwarder, self, log);
    exchange.port =
        loop.openDatagrams(
            self.peerHost(), self.peerPort(), exchange::onDatagram, exchange::onOpenFailed);
    return exchange;
  }

  private void onOpenFailed(Throwable cause) {
    port = null;
    log.record(
        EventKind.FAILED,
        "",
        "",
        "peers",
        0,
        "cannot open the port for peers: " + cause.getMessage());
  }

  /** Updates the list of live VMs. */
  public void updateLiveVms(Collection<EntryVm> vms) {
    observations.updateLiveVms(vms);
    liveVmsByName.clear();
    for (EntryVm vm : vms) {
      liveVmsByName.put(vm.name(), vm);
      forget(vm.name());
      remember(vm);
    }
    int surplus = knownVmsByName.size() - vms.size() - MAX_FORMER_VMS;
    List.copyOf(knownVmsByName.keySet()).stream().limit(Math.max(0, surplus)).forEach(this::forget);
  }

  private void remember(EntryVm vm) {
    knownVmsByName.put(vm.name(), vm);
    nameByAddress.put(vm.peerAddress(), vm.name());
  }

  private void forget(String name) {
    EntryVm former = knownVmsByName.remove(name);
    if (former != null) {
      nameByAddress.remove(former.peerAddress(), name);
    }
  }

  /** True if a live VM receives datagrams on the host of that IP address. */
  public boolean isPeer(String host) {
    for (EntryVm vm : liveVmsByName.values()) {
      if (!vm.peerAddress().isEmpty() && vm.peerHost().equals(host)) {
        return true;
      }
    }
    return false;
  }

  /** Sends a datagram to the VM of that name; returns false if it receives none. */
  private boolean send(String vm, byte[] bytes) {
    EntryVm peer = knownVmsByName.get(vm);
    DatagramPort openPort = port;
    if (peer == null || openPort == null || peer.peerAddress().isEmpty()) {
      return false;
    }
    openPort.send(peer.peerHost(), peer.peerPort(), bytes);
    return true;
  }

  @Override
  public void send(String vm, QuotaMessage message) {
    try {
      if (send(vm, QuotaCodec.encode(message))) {
        metrics.count("peer_messages_sent");
      }
    } catch (QuotaCodec.MalformedException e) {
      metrics.count("peer_messages_not_sent");
      log.record(EventKind.FAILED, "", "", vm, 0, "quota message not sent: " + e.getMessage());
    }
  }

  @Override
  public void scheduleTick() {
    var unused = loop.schedule(Quotas.TICK_MILLIS, () -> forwarder.quotas().tick(loop.nowMillis()));
  }

  @Override
  public void onChange(String workspace, QuotaChange change) {
    metrics.count("quota_" + change.name().toLowerCase(Locale.ROOT));
    log.record(EventKind.VIEW_CHANGED, "", "", workspace, 0, "quota: " + change);
  }

  private void onDatagram(String host, int fromPort, byte[] bytes) {
    String from = nameByAddress.get(host + ':' + fromPort);
    if (from == null) {
      metrics.count("peer_messages_of_strangers");
      return;
    }
    if (ObservationCodec.isDigest(bytes)) {
      observations.onDatagram(from, bytes);
      return;
    }
    try {
      forwarder.quotas().onMessage(from, QuotaCodec.decode(bytes), loop.nowMillis());
    } catch (QuotaCodec.MalformedException e) {
      metrics.count("peer_messages_malformed");
    }
  }
}
