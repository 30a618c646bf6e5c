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
 * The control plane of one entry VM as a machine: driven by ticks, messages and the ends of store
 * calls, it decides what to send, to call and to put in force. Holds no thread and does no I/O; one
 * control thread calls it.
 */
final class ControlMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SNAPSHOT_PEERS = 4;
  private static final Duration NEIGHBOUR_REFRESH = Duration.ofSeconds(5);
  private static final Duration LOST_LINK_AVOIDED = Duration.ofSeconds(2);
  private static final Duration LOST_LINK_FORGOTTEN = Duration.ofMinutes(10);

  private final ControlIdentity identity;
  private final ControlTimes times;
  private final TimeSource time;
  private final ControlEffects effects;
  private final EventSink events;
  private final Spreader spreader;
  private final RelayElection duty;
  private final RelayRole role;
  private final KnownState known;
  private final PeerDirectory directory;
  private final ConfirmationGuard guard;
  private final InitialSnapshot snapshot;
  private final Set<String> seeds = new HashSet<>();
  private final Map<String, Long> lostNanos = new HashMap<>();
  private Supplier<List<ZoneSummary>> summaries = List::of;
  private Supplier<List<TargetReport>> targets = List::of;
  private boolean ready;
  private boolean leaving;
  private int callersPort;
  private boolean wasRelaying;
  private long revisionInForce;
  private long relayHeardNanos;
  private long nextBeatNanos;
  private long nextSnapshotNanos;
  private long nextNeighboursNanos;

  ControlMachine(
      ControlIdentity identity,
      ControlTimes times,
      TimeSource time,
      RandomGenerator random,
      ControlEffects effects,
      EventSink events) {
    this.identity = identity;
    this.times = times;
    this.time = time;
    this.effects = effects;
    this.events = events;
    this.known = new KnownState(identity, time, times);
    this.directory = new PeerDirectory(identity, random);
    this.guard = ConfirmationGuard.of(times.membership(), time);
    this.snapshot = InitialSnapshot.of(time, times.snapshotWait());
    this.spreader = Spreader.of(times.spread(), time, random, this::sendSpread, this::accepted);
    this.duty =
        RelayElection.of(
            times.relay(),
            time,
            "relays/" + identity.customer() + "/" + identity.zone(),
            identity.vm(),
            identity.self().incarnation(),
            random);
    this.role =
        new RelayRole(
            identity,
            times,
            time,
            known,
            spreader.table(),
            duty,
            spreader::publish,
            effects::probe,
            events);
    spreader.setSummaryRoute(
        report -> directory.reportRoute(report, known.views(), known.contract(), this::reach));
    long now = time.nanos();
    this.callersPort = identity.self().port();
    this.relayHeardNanos = now - times.relay().silenceTimeout().toNanos();
    this.nextBeatNanos = now;
    this.nextSnapshotNanos = now;
    this.nextNeighboursNanos = now;
  }

  KnownState known() {
    return known;
  }

  ConfirmationGuard guard() {
    return guard;
  }

  RelayElection duty() {
    return duty;
  }

  Spreader spreader() {
    return spreader;
  }

  boolean ready() {
    return ready;
  }

  String explanation() {
    return snapshot.explanation();
  }

  void summaries(Supplier<List<ZoneSummary>> own) {
    summaries = own;
  }

  void targets(Supplier<List<TargetReport>> own) {
    targets = own;
  }

  /** The request path now acts on that revision. */
  void inForce(long revision) {
    if (revision > revisionInForce) {
      revisionInForce = revision;
      nextBeatNanos = time.nanos();
    }
  }

  /** One round; to be called every few tens of milliseconds. */
  void tick() {
    guard.tick();
    if (!ready) {
      fetchSnapshot();
    }
    askForDuty();
    role.tick();
    noteRelaying();
    noteSilentZones();
    if (time.nanos() - nextNeighboursNanos >= 0) {
      refreshNeighbours();
    }
    if (time.nanos() - nextBeatNanos >= 0) {
      beat();
    }
    spreader.tick();
  }

  /** Callers are served on that port from now on. */
  void serving(int port) {
    callersPort = port;
    nextBeatNanos = time.nanos();
  }

  void leave() {
    leaving = true;
    duty.resign().ifPresent(effects::revoke);
    nextBeatNanos = time.nanos();
  }

  void received(String from, InnerMessage message) {
    lostNanos.remove(from);
    if (message instanceof InnerMessage.Spread spread) {
      receivedSpread(from, spread.message());
    } else if (message instanceof InnerMessage.Beat beat) {
      answer(from, beat.heartbeat());
    } else if (message instanceof InnerMessage.BeatAnswer beatAnswer) {
      answered(from, beatAnswer.answer());
    } else if (message instanceof InnerMessage.Direct direct) {
      effects.payload(from, direct.payload().topic(), direct.payload().content());
    }
  }

  void opened(String vm) {
    if (!ready) {
      // A fresh VM may know no other peer than the one that a seed turned out to be.
      seeds.add(vm);
    }
    lostNanos.remove(vm);
    spreader.onLinkOpened(vm);
  }

  private boolean sendSpread(String vm, SpreadMessage message) {
    boolean sent = effects.send(vm, new InnerMessage.Spread(message));
    if (!sent) {
      lostNanos.put(vm, time.nanos());
    }
    return sent;
  }

  private PeerDirectory.Reach reach(String vm) {
    Long lost = lostNanos.get(vm);
    if (lost == null) {
      return PeerDirectory.Reach.OPEN;
    }
    boolean lately = time.nanos() - lost < LOST_LINK_AVOIDED.toNanos();
    return lately ? PeerDirectory.Reach.LOST : PeerDirectory.Reach.TRIED_AGAIN;
  }

  void lost(String vm) {
    lostNanos.put(vm, time.nanos());
    spreader.onLinkLost(vm);
  }

  /** How long the zone's relay has not been heard. */
  long relaySilenceNanos() {
    return time.nanos() - relayHeardNanos;
  }

  /** The platform's list was fetched. */
  void listed(List<ListedVm> lines) {
    directory.listed(lines).forEach(effects::address);
    role.listed(lines);
  }

  /** The store told the contract it holds, or that it holds none. */
  void storeAnswered(Optional<StoredValue> contract) {
    contract.ifPresent(this::storedContract);
    snapshot.recordStoreAnswer();
    becomeReady();
  }

  /** A watch or a read brought the contract. */
  void storedContract(StoredValue value) {
    if (value.key().equals(StoredContract.keyOf(identity.customer()))) {
      spreader.publish(
          Item.of(ItemKind.CONTRACT, identity.customer(), value.revision(), value.value()));
    }
  }

  /** Tells all entry VMs. */
  void announce(String topic, String id, byte[] content, Duration keep) {
    ItemKey key = new ItemKey(ItemKind.NOTICE, topic + "/" + id);
    long version = Math.max(time.wallMillis(), spreader.table().version(key) + 1);
    byte[] payload = MessageCodec.encode(new TopicPayload(topic, content));
    spreader.publish(new Item(key, version, time.wallMillis() + keep.toMillis(), payload));
  }

  private void receivedSpread(String from, SpreadMessage message) {
    if (message instanceof SpreadMessage.SnapshotEnd end) {
      snapshot.recordPeerAnswer(from, end.isReady());
      becomeReady();
      return;
    }
    spreader.receive(from, message);
  }

  private void accepted(Item item) {
    if (item.key().kind() == ItemKind.NOTICE) {
      notice(item);
      return;
    }
    if (!known.accept(item)) {
      return;
    }
    if (item.key().kind() == ItemKind.VIEW) {
      viewAccepted(item);
    }
    effects.stateChanged();
  }

  private void notice(Item item) {
    try {
      TopicPayload payload = MessageCodec.decodePayload(item.payload());
      effects.payload("", payload.topic(), payload.content());
    } catch (ProtocolException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "notice %s cannot be read", item.key().name());
    }
  }

  private void viewAccepted(Item item) {
    String zone = item.key().name();
    Optional<RelayedView> view = known.view(zone);
    view.ifPresent(seen -> directory.addresses(seen).forEach(effects::address));
    nextNeighboursNanos = time.nanos();
    if (!zone.equals(identity.zone()) || view.isEmpty()) {
      return;
    }
    if (!view.get().relay().equals(identity.vm())) {
      duty.onViewSeen(ZoneViewBuilder.fencingTokenOf(item.version()));
      relayHeardNanos = time.nanos();
    }
    events.record(
        EventKind.VIEW_CHANGED,
        "",
        identity.customer(),
        zone,
        item.version(),
        "by " + view.get().relay() + ", members " + view.get().view().members().size());
    nextBeatNanos = time.nanos();
  }

  private void fetchSnapshot() {
    if (time.nanos() - nextSnapshotNanos >= 0) {
      nextSnapshotNanos = time.nanos() + times.snapshotRetry().toNanos();
      for (String vm : directory.snapshotPeers(seeds, known.views(), SNAPSHOT_PEERS)) {
        if (spreader.requestSnapshot(vm)) {
          snapshot.recordRequest(vm);
        }
      }
    }
    becomeReady();
  }

  private void becomeReady() {
    if (ready || !snapshot.isComplete()) {
      return;
    }
    ready = true;
    role.started();
    spreader.setReady(true);
    if (known.view(identity.zone()).isPresent()) {
      relayHeardNanos = time.nanos();
    }
    logger.atInfo().log(
        "ready with contract revision %d: %s", known.revision(), snapshot.explanation());
    effects.stateChanged();
  }

  private void askForDuty() {
    long silence = time.nanos() - relayHeardNanos;
    // The rank counts only among those that find the relay silent, and costs a hash for each
    // member.
    boolean quiet = silence >= times.relay().silenceTimeout().toNanos();
    int rank = quiet ? directory.rank(known.views()) : 0;
    boolean mayServe = ready && !leaving && callersPort > 0;
    duty.nextCall(silence, rank, mayServe).ifPresent(effects::call);
    if (mayServe) {
      long lastNumber = known.view(identity.zone()).map(view -> view.view().number()).orElse(0L);
      duty.actWithoutLeaseIfAbandoned(silence, rank, ZoneViewBuilder.fencingTokenOf(lastNumber));
    }
  }

  private void noteRelaying() {
    boolean now = role.active();
    if (now != wasRelaying) {
      wasRelaying = now;
      effects.relaying(now);
      nextNeighboursNanos = time.nanos();
      if (!now) {
        relayHeardNanos = time.nanos();
      }
    }
  }

  private void noteSilentZones() {
    for (String zone : known.noteSilence()) {
      events.record(
          EventKind.MEMBER_SILENT,
          "",
          identity.customer(),
          zone,
          0,
          "nothing heard of the zone for "
              + times.zoneSilence(known.views().size()).toMillis()
              + " ms");
    }
  }

  private void refreshNeighbours() {
    nextNeighboursNanos = time.nanos() + NEIGHBOUR_REFRESH.toNanos();
    lostNanos.values().removeIf(lost -> time.nanos() - lost >= LOST_LINK_FORGOTTEN.toNanos());
    spreader.setNeighbours(directory.neighbours(known.views(), role.active()));
    spreader.setRepairPeers(directory.comparisonPeers(known.views()));
  }

  private void beat() {
    int members = known.view(identity.zone()).map(view -> view.view().members().size()).orElse(0);
    nextBeatNanos = time.nanos() + times.membership().heartbeatInterval(members).toNanos();
    if (!ready || callersPort == 0) {
      return;
    }
    Optional<RelayedView> view = known.view(identity.zone());
    Heartbeat heartbeat =
        new Heartbeat(
            identity.member(callersPort, leaving),
            time.nanos(),
            view.map(seen -> seen.view().number()).orElse(0L),
            revisionInForce,
            new ArrayList<>(targets.get()),
            summaries.get());
    Optional<HeartbeatAnswer> own = role.heartbeat(heartbeat);
    if (own.isPresent()) {
      relayHeardNanos = time.nanos();
      confirm(own.get());
      return;
    }
    view.map(RelayedView::relay)
        .filter(relay -> !relay.equals(identity.vm()))
        .ifPresent(relay -> effects.send(relay, new InnerMessage.Beat(heartbeat)));
  }

  private void answer(String from, Heartbeat heartbeat) {
    if (!from.equals(heartbeat.sender().vm())) {
      return;
    }
    long number = known.view(identity.zone()).map(view -> view.view().number()).orElse(0L);
    HeartbeatAnswer answer =
        role.heartbeat(heartbeat)
            .orElseGet(() -> new HeartbeatAnswer(heartbeat.sentNanos(), number, false, false, 0));
    effects.send(from, new InnerMessage.BeatAnswer(answer));
  }

  private void answered(String from, HeartbeatAnswer answer) {
    Optional<RelayedView> view = known.view(identity.zone());
    long number = view.map(seen -> seen.view().number()).orElse(0L);
    if (answer.viewNumber() > number) {
      ItemKey key = new ItemKey(ItemKind.VIEW, identity.zone());
      effects.send(from, new InnerMessage.Spread(new SpreadMessage.Pull(List.of(key))));
    }
    boolean fromRelay = view.map(seen -> seen.relay().equals(from)).orElse(false);
    if (!fromRelay) {
      return;
    }
    if (!answer.isRelay()) {
      // It has given the duty up: no need to wait until its silence is noticed.
      relayHeardNanos =
          Math.min(relayHeardNanos, time.nanos() - times.relay().silenceTimeout().toNanos());
      return;
    }
    relayHeardNanos = time.nanos();
    duty.onRelayMessage();
    confirm(answer);
  }

  private void confirm(HeartbeatAnswer answer) {
    if (answer.knownIncarnation() > identity.self().incarnation()) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
          "the zone knows a later incarnation %d of %s than this one, %d; is the name used twice?",
          answer.knownIncarnation(), identity.vm(), identity.self().incarnation());
      return;
    }
    if (answer.isConfirmed()) {
      guard.onConfirmed(answer.echoedSentNanos());
    }
  }
}
