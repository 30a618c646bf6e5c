package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ConfirmationGuard;
import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneViewBuilder;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.spread.InitialSnapshot;
import org.sageladder.core.spread.Item;
import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;
import org.sageladder.core.spread.RelayElection;
import org.sageladder.core.spread.SpreadMessage;
import org.sageladder.core.spread.Spreader;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.protocol.InnerMessage;
import org.sageladder.protocol.MessageCodec;
import org.sageladder.protocol.ProtocolException;
import org.sageladder.protocol.TopicPayload;

/**
 * State machine of the control plane of one entry VM. Ticks, messages and results of store calls
 * drive it; it decides which messages to send, which store calls to make and which state is in
 * force. Owns no thread and does no I/O; only the control thread calls it.
 */
final class ControlStateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_SNAPSHOT_PEERS = 4;
  private static final Duration NEIGHBOUR_REFRESH_INTERVAL = Duration.ofSeconds(5);
  private static final Duration LOST_LINK_AVOIDANCE = Duration.ofSeconds(2);
  private static final Duration LOST_LINK_RETENTION = Duration.ofMinutes(10);

  private final ControlIdentity identity;
  private final ControlTimings timings;
  private final TimeSource time;
  private final ControlEffects effects;
  private final EventSink events;
  private final Spreader spreader;
  private final RelayElection election;
  private final RelayRole relayRole;
  private final ReplicatedState replicatedState;
  private final PeerDirectory directory;
  private final ConfirmationGuard guard;
  private final InitialSnapshot initialSnapshot;
  private final Set<String> seeds = new HashSet<>();
  private final Map<String, Long> linkLostNanos = new HashMap<>();
  private Supplier<List<ZoneSummary>> summarySource = List::of;
  private Supplier<List<TargetReport>> targetReportSource = List::of;
  private boolean isReady;
  private boolean isLeaving;
  private int callersPort;
  private boolean wasRelay;
  private long revisionInForce;
  private long lastRelayMessageNanos;
  private long nextHeartbeatNanos;
  private long nextSnapshotNanos;
  private long nextNeighbourRefreshNanos;

  ControlStateMachine(
      ControlIdentity identity,
      ControlTimings timings,
      TimeSource time,
      RandomGenerator random,
      ControlEffects effects,
      EventSink events) {
    this.identity = identity;
    this.timings = timings;
    this.time = time;
    this.effects = effects;
    this.events = events;
    this.replicatedState = new ReplicatedState(identity, time, timings);
    this.directory = new PeerDirectory(identity, random);
    this.guard = ConfirmationGuard.of(timings.membership(), time);
    this.initialSnapshot = InitialSnapshot.of(time, timings.snapshotPeerWait());
    this.spreader =
        Spreader.of(timings.spread(), time, random, this::sendSpread, this::onItemAccepted);
    this.election =
        RelayElection.of(
            timings.relay(),
            time,
            "relays/" + identity.customer() + "/" + identity.zone(),
            identity.vm(),
            identity.self().incarnation(),
            random);
    this.relayRole =
        new RelayRole(
            identity,
            timings,
            time,
            replicatedState,
            spreader.table(),
            election,
            spreader::publish,
            effects::probeTarget,
            events);
    spreader.setSummaryRoute(
        report ->
            directory.summaryRoute(
                report, replicatedState.views(), replicatedState.contract(), this::reachability));
    long now = time.nanos();
    this.callersPort = identity.self().port();
    this.lastRelayMessageNanos = now - timings.relay().silenceTimeout().toNanos();
    this.nextHeartbeatNanos = now;
    this.nextSnapshotNanos = now;
    this.nextNeighbourRefreshNanos = now;
  }

  ReplicatedState replicatedState() {
    return replicatedState;
  }

  ConfirmationGuard guard() {
    return guard;
  }

  RelayElection election() {
    return election;
  }

  Spreader spreader() {
    return spreader;
  }

  boolean isReady() {
    return isReady;
  }

  String readinessExplanation() {
    return initialSnapshot.explanation();
  }

  void setSummarySource(Supplier<List<ZoneSummary>> source) {
    summarySource = source;
  }

  void setTargetReportSource(Supplier<List<TargetReport>> source) {
    targetReportSource = source;
  }

  /** Called when the request path applies the contract of {@code revision}. */
  void onContractInForce(long revision) {
    if (revision > revisionInForce) {
      revisionInForce = revision;
      nextHeartbeatNanos = time.nanos();
    }
  }

  /** Performs all work that is due; call it every 100 ms or more often. */
  void tick() {
    guard.tick();
    if (!isReady) {
      fetchSnapshot();
    }
    advanceElection();
    relayRole.tick();
    updateRelayState();
    recordSilentZones();
    if (time.nanos() - nextNeighbourRefreshNanos >= 0) {
      refreshNeighbours();
    }
    if (time.nanos() - nextHeartbeatNanos >= 0) {
      sendHeartbeat();
    }
    spreader.tick();
  }

  /** Called when the callers' port is open; the VM joins the view of its zone afterwards. */
  void startServing(int newCallersPort) {
    callersPort = newCallersPort;
    nextHeartbeatNanos = time.nanos();
  }

  void beginLeaving() {
    isLeaving = true;
    election.resign().ifPresent(effects::revokeLease);
    nextHeartbeatNanos = time.nanos();
  }

  void onMessage(String from, InnerMessage message) {
    linkLostNanos.remove(from);
    if (message instanceof InnerMessage.Spread spread) {
      onSpreadMessage(from, spread.message());
    } else if (message instanceof InnerMessage.HeartbeatMessage heartbeatMessage) {
      onHeartbeat(from, heartbeatMessage.heartbeat());
    } else if (message instanceof InnerMessage.HeartbeatAnswerMessage answerMessage) {
      onHeartbeatAnswer(from, answerMessage.answer());
    } else if (message instanceof InnerMessage.Direct direct) {
      effects.deliverPayload(from, direct.payload().topic(), direct.payload().content());
    }
  }

  void onLinkOpened(String vm) {
    if (!isReady) {
      // A newly started VM may know no peer but the one that answers at a seed address.
      seeds.add(vm);
    }
    linkLostNanos.remove(vm);
    spreader.onLinkOpened(vm);
  }

  private boolean sendSpread(String vm, SpreadMessage message) {
    boolean sent = effects.send(vm, new InnerMessage.Spread(message));
    if (!sent) {
      linkLostNanos.put(vm, time.nanos());
    }
    return sent;
  }

  private PeerDirectory.Reachability reachability(String vm) {
    Long lostNanos = linkLostNanos.get(vm);
    if (lostNanos == null) {
      return PeerDirectory.Reachability.REACHABLE;
    }
    boolean isRecent = time.nanos() - lostNanos < LOST_LINK_AVOIDANCE.toNanos();
    return isRecent ? PeerDirectory.Reachability.UNREACHABLE : PeerDirectory.Reachability.RETRYING;
  }

  void onLinkLost(String vm) {
    linkLostNanos.put(vm, time.nanos());
    spreader.onLinkLost(vm);
  }

  /** Time since the last message from the zone's relay. */
  long relaySilenceNanos() {
    return time.nanos() - lastRelayMessageNanos;
  }

  /** Applies a newly fetched list of the platform's VMs. */
  void onPlatformList(List<ListedVm> vms) {
    directory.onPlatformList(vms).forEach(effects::addPeerAddress);
    relayRole.onPlatformList(vms);
  }

  /**
   * Called with the result of the first store read: the stored contract, or empty if there is none.
   */
  void onInitialStoreRead(Optional<StoredValue> contract) {
    contract.ifPresent(this::onStoredContract);
    initialSnapshot.recordStoreAnswer();
    becomeReadyIfComplete();
  }

  /** Publishes to the peers a contract that a watch or a read returned. */
  void onStoredContract(StoredValue value) {
    if (value.key().equals(StoredContract.keyOf(identity.customer()))) {
      spreader.publish(
          Item.of(ItemKind.CONTRACT, identity.customer(), value.revision(), value.value()));
    }
  }

  /** Publishes a payload to all entry VMs of the customer. */
  void broadcast(String topic, String id, byte[] content, Duration retention) {
    ItemKey key = new ItemKey(ItemKind.NOTICE, topic + "/" + id);
    long version = Math.max(time.wallMillis(), spreader.table().version(key) + 1);
    byte[] payload = MessageCodec.encode(new TopicPayload(topic, content));
    spreader.publish(new Item(key, version, time.wallMillis() + retention.toMillis(), payload));
  }

  private void onSpreadMessage(String from, SpreadMessage message) {
    if (message instanceof SpreadMessage.SnapshotEnd end) {
      initialSnapshot.recordPeerAnswer(from, end.isReady());
      becomeReadyIfComplete();
      return;
    }
    spreader.receive(from, message);
  }

  private void onItemAccepted(Item item) {
    if (item.key().kind() == ItemKind.NOTICE) {
      onNotice(item);
      return;
    }
    if (!replicatedState.accept(item)) {
      return;
    }
    if (item.key().kind() == ItemKind.VIEW) {
      onViewAccepted(item);
    }
    effects.onStateChanged();
  }

  private void onNotice(Item item) {
    try {
      TopicPayload payload = MessageCodec.decodePayload(item.payload());
      effects.deliverPayload("", payload.topic(), payload.content());
    } catch (ProtocolException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "cannot decode notice %s", item.key().name());
    }
  }

  private void onViewAccepted(Item item) {
    String zone = item.key().name();
    Optional<RelayedView> view = replicatedState.view(zone);
    view.ifPresent(seen -> directory.peerAddresses(seen).forEach(effects::addPeerAddress));
    nextNeighbourRefreshNanos = time.nanos();
    if (!zone.equals(identity.zone()) || view.isEmpty()) {
      return;
    }
    if (!view.get().relay().equals(identity.vm())) {
      election.onViewSeen(ZoneViewBuilder.fencingTokenOf(item.version()));
      lastRelayMessageNanos = time.nanos();
    }
    events.record(
        EventKind.VIEW_CHANGED,
        "",
        identity.customer(),
        zone,
        item.version(),
        "by " + view.get().relay() + ", members " + view.get().view().members().size());
    nextHeartbeatNanos = time.nanos();
  }

  private void fetchSnapshot() {
    if (time.nanos() - nextSnapshotNanos >= 0) {
      nextSnapshotNanos = time.nanos() + timings.snapshotRetryInterval().toNanos();
      for (String vm :
          directory.snapshotPeers(seeds, replicatedState.views(), MAX_SNAPSHOT_PEERS)) {
        if (spreader.requestSnapshot(vm)) {
          initialSnapshot.recordRequest(vm);
        }
      }
    }
    becomeReadyIfComplete();
  }

  private void becomeReadyIfComplete() {
    if (isReady || !initialSnapshot.isComplete()) {
      return;
    }
    isReady = true;
    relayRole.onReady();
    spreader.setReady(true);
    if (replicatedState.view(identity.zone()).isPresent()) {
      lastRelayMessageNanos = time.nanos();
    }
    logger.atInfo().log(
        "ready with contract revision %d: %s",
        replicatedState.contractRevision(), initialSnapshot.explanation());
    effects.onStateChanged();
  }

  private void advanceElection() {
    long silenceNanos = time.nanos() - lastRelayMessageNanos;
    // The rank matters only once the relay is silent, and computing it hashes every member.
    boolean isRelaySilent = silenceNanos >= timings.relay().silenceTimeout().toNanos();
    int rank = isRelaySilent ? directory.rank(replicatedState.views()) : 0;
    boolean isEligible = isReady && !isLeaving && callersPort > 0;
    election.nextCall(silenceNanos, rank, isEligible).ifPresent(effects::startElectionCall);
    if (isEligible) {
      long lastViewNumber =
          replicatedState.view(identity.zone()).map(view -> view.view().number()).orElse(0L);
      election.actWithoutLeaseIfAbandoned(
          silenceNanos, rank, ZoneViewBuilder.fencingTokenOf(lastViewNumber));
    }
  }

  private void updateRelayState() {
    boolean isRelay = relayRole.isActive();
    if (isRelay != wasRelay) {
      wasRelay = isRelay;
      effects.setRelay(isRelay);
      nextNeighbourRefreshNanos = time.nanos();
      if (!isRelay) {
        lastRelayMessageNanos = time.nanos();
      }
    }
  }

  private void recordSilentZones() {
    for (String zone : replicatedState.detectSilentZones()) {
      events.record(
          EventKind.MEMBER_SILENT,
          "",
          identity.customer(),
          zone,
          0,
          "no message from the zone for "
              + timings.zoneSilenceTimeout(replicatedState.views().size()).toMillis()
              + " ms");
    }
  }

  private void refreshNeighbours() {
    nextNeighbourRefreshNanos = time.nanos() + NEIGHBOUR_REFRESH_INTERVAL.toNanos();
    linkLostNanos.values().removeIf(lost -> time.nanos() - lost >= LOST_LINK_RETENTION.toNanos());
    spreader.setNeighbours(directory.neighbours(replicatedState.views(), relayRole.isActive()));
    spreader.setRepairPeers(directory.repairPeers(replicatedState.views()));
  }

  private void sendHeartbeat() {
    int memberCount =
        replicatedState.view(identity.zone()).map(view -> view.view().members().size()).orElse(0);
    nextHeartbeatNanos =
        time.nanos() + timings.membership().heartbeatInterval(memberCount).toNanos();
    if (!isReady || callersPort == 0) {
      return;
    }
    Optional<RelayedView> view = replicatedState.view(identity.zone());
    Heartbeat heartbeat =
        new Heartbeat(
            identity.toMember(callersPort, isLeaving),
            time.nanos(),
            view.map(seen -> seen.view().number()).orElse(0L),
            revisionInForce,
            new ArrayList<>(targetReportSource.get()),
            summarySource.get());
    Optional<HeartbeatAnswer> ownAnswer = relayRole.onHeartbeat(heartbeat);
    if (ownAnswer.isPresent()) {
      lastRelayMessageNanos = time.nanos();
      applyConfirmation(ownAnswer.get());
      return;
    }
    view.map(RelayedView::relay)
        .filter(relay -> !relay.equals(identity.vm()))
        .ifPresent(relay -> effects.send(relay, new InnerMessage.HeartbeatMessage(heartbeat)));
  }

  private void onHeartbeat(String from, Heartbeat heartbeat) {
    if (!from.equals(heartbeat.sender().vm())) {
      return;
    }
    long viewNumber =
        replicatedState.view(identity.zone()).map(view -> view.view().number()).orElse(0L);
    HeartbeatAnswer answer =
        relayRole
            .onHeartbeat(heartbeat)
            .orElseGet(
                () -> new HeartbeatAnswer(heartbeat.sentNanos(), viewNumber, false, false, 0));
    effects.send(from, new InnerMessage.HeartbeatAnswerMessage(answer));
  }

  private void onHeartbeatAnswer(String from, HeartbeatAnswer answer) {
    Optional<RelayedView> view = replicatedState.view(identity.zone());
    long viewNumber = view.map(seen -> seen.view().number()).orElse(0L);
    if (answer.viewNumber() > viewNumber) {
      ItemKey key = new ItemKey(ItemKind.VIEW, identity.zone());
      effects.send(from, new InnerMessage.Spread(new SpreadMessage.Pull(List.of(key))));
    }
    boolean isFromRelay = view.map(seen -> seen.relay().equals(from)).orElse(false);
    if (!isFromRelay) {
      return;
    }
    if (!answer.isRelay()) {
      // The sender is no longer relay, so there is no need to wait for the silence timeout.
      lastRelayMessageNanos =
          Math.min(
              lastRelayMessageNanos, time.nanos() - timings.relay().silenceTimeout().toNanos());
      return;
    }
    lastRelayMessageNanos = time.nanos();
    election.onRelayMessage();
    applyConfirmation(answer);
  }

  private void applyConfirmation(HeartbeatAnswer answer) {
    if (answer.knownIncarnation() > identity.self().incarnation()) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
          "the zone has a later incarnation %d of %s than this process, %d; is the name used"
              + " twice?",
          answer.knownIncarnation(), identity.vm(), identity.self().incarnation());
      return;
    }
    if (answer.isConfirmed()) {
      guard.onConfirmed(answer.echoedSentNanos());
    }
  }
}
