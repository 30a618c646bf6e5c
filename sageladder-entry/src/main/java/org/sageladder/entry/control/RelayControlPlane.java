package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.spread.ElectionCall;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.time.TimeSource;
import org.sageladder.protocol.InnerLinks;
import org.sageladder.protocol.InnerMessage;
import org.sageladder.protocol.LinkCounters;
import org.sageladder.protocol.LinkIdentity;
import org.sageladder.protocol.PeerAddress;
import org.sageladder.protocol.TopicPayload;
import org.sageladder.protocol.ZoneReport;

/**
 * Control plane in which one relay per zone calls the platform, and the entry VMs replicate the
 * state among themselves.
 *
 * <p>One control thread owns the {@link ControlStateMachine}; the threads of the links and of the
 * store submit their results to it. A separate thread calls the listeners, so that a slow listener
 * is not mistaken for a pause of this VM.
 */
public final class RelayControlPlane implements ControlPlane {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_INTERVAL_MILLIS = 100;
  private static final long MIN_PUBLISH_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final long RELAY_SILENCE_BEFORE_LIST_NANOS = Duration.ofSeconds(5).toNanos();
  private static final double MAX_STORE_CALLS_PER_SECOND = 4;
  private static final double MAX_STORE_CALL_BURST = 20;

  private final TimeSource time;
  private final EventSink events;
  private final RateLimitedStore store;
  private final StoreWorker storeWorker;
  private final ControlStateMachine stateMachine;
  private final InnerLinks links;
  private final TopicDispatcher topicDispatcher = new TopicDispatcher();
  private final List<Consumer<ClusterState>> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService controlExecutor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
  private final ExecutorService deliveryExecutor =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "state"));
  private final AtomicBoolean isDeliveryScheduled = new AtomicBoolean();
  private final String customer;
  private volatile ClusterState state = ClusterState.empty();
  private volatile List<ZoneReport> zoneReports = List.of();
  private volatile Readiness readiness = Readiness.WAITING;
  private volatile boolean isRelay;
  // With this default no probe is answered, so no target of a silent zone is taken over.
  private volatile TargetProbe targetProbe = (target, answer) -> {};
  // Peers may connect before the constructor has finished; their messages are dropped until then.
  private volatile boolean isStarted;
  private long lastPublishNanos;
  // Accessed only by the delivery thread.
  private long lastRevisionInForce;

  private RelayControlPlane(
      ControlSettings settings,
      ControlTimings timings,
      RateLimitedStore store,
      Supplier<Optional<KeyRing>> keys,
      TimeSource time,
      EventSink events)
      throws IOException {
    Member self = settings.self();
    this.time = time;
    this.events = events;
    this.store = store;
    this.customer = settings.customer();
    this.storeWorker =
        new StoreWorker(
            store,
            customer,
            settings.listFetchInterval(),
            timings.relay().leaseTimeToLive(),
            events);
    this.links =
        InnerLinks.open(
            self.host(),
            self.innerPort(),
            new LinkIdentity(self.vm(), customer, self.incarnation()),
            keys,
            new LinkReceiver());
    Member boundSelf =
        new Member(
            self.vm(),
            self.zone(),
            self.incarnation(),
            self.host(),
            self.port(),
            links.port(),
            false);
    ControlIdentity identity = new ControlIdentity(customer, boundSelf);
    this.stateMachine =
        new ControlStateMachine(
            identity, timings, time, new SplittableRandom(), new Effects(), events);
  }

  /**
   * Opens the inner port and starts to contact peers and the store.
   *
   * @param settings identity of this VM, its seeds and the interval of list fetches
   * @param keys the customer's keys of the inner protocol, empty until they are known
   * @throws IOException if the inner port cannot be opened
   */
  public static RelayControlPlane start(
      ControlSettings settings,
      Store store,
      VmList vmList,
      Supplier<Optional<KeyRing>> keys,
      TimeSource time,
      EventSink events)
      throws IOException {
    RateLimitedStore rateLimitedStore =
        RateLimitedStore.of(store, vmList, time, MAX_STORE_CALLS_PER_SECOND, MAX_STORE_CALL_BURST);
    RelayControlPlane controlPlane =
        new RelayControlPlane(
            settings, ControlTimings.standard(), rateLimitedStore, keys, time, events);
    controlPlane.startThreads(settings.seeds());
    return controlPlane;
  }

  private void startThreads(List<PeerAddress> seeds) {
    isStarted = true;
    seeds.forEach(seed -> links.connectToUnnamedPeer(seed.host(), seed.port()));
    storeWorker.start(
        new StoreResults(),
        () -> state.contracts().values().stream().mapToLong(Contract::revision).max().orElse(0));
    ScheduledFuture<?> unused =
        controlExecutor.scheduleWithFixedDelay(
            this::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public ClusterState state() {
    return state;
  }

  @Override
  public void onChange(Consumer<ClusterState> listener) {
    listeners.add(listener);
    deliveryExecutor.execute(() -> listener.accept(state));
  }

  @Override
  public void setSummarySource(Supplier<List<ZoneSummary>> source) {
    runOnControlThread(() -> stateMachine.setSummarySource(source));
  }

  @Override
  public void setTargetReportSource(Supplier<List<TargetReport>> source) {
    runOnControlThread(() -> stateMachine.setTargetReportSource(source));
  }

  /** Sets the probe that finds out whether targets of a silent zone are reachable and idle. */
  public void setTargetProbe(TargetProbe probe) {
    targetProbe = probe;
  }

  @Override
  public HoldingGuard guard() {
    return stateMachine.guard();
  }

  @Override
  public void startServing(int callersPort) {
    runOnControlThread(() -> stateMachine.startServing(callersPort));
  }

  @Override
  public PeerMessages messages() {
    return new Messages();
  }

  @Override
  public List<ZoneReport> zoneReports() {
    return zoneReports;
  }

  @Override
  public boolean isRelay() {
    return isRelay;
  }

  /** Traffic counters of the connections with peers. */
  public LinkCounters linkCounters() {
    return links.counters();
  }

  /** Number of open connections with peers. */
  public int openLinkCount() {
    return links.openLinkCount();
  }

  /** Number of store calls sent since the start, by kind. */
  public Map<String, Long> storeCallCounts() {
    return store.callCounts();
  }

  /** Number of store calls that the rate limit refused. */
  public long refusedStoreCallCount() {
    return store.refusedCallCount();
  }

  /** The port of the inner protocol. */
  public int innerPort() {
    return links.port();
  }

  @Override
  public void beginLeaving() {
    readiness = Readiness.LEAVING;
    runOnControlThread(stateMachine::beginLeaving);
  }

  @Override
  public Readiness readiness() {
    return readiness;
  }

  @Override
  public void close() {
    storeWorker.close();
    controlExecutor.shutdownNow();
    deliveryExecutor.shutdownNow();
    links.close();
  }

  private void runOnControlThread(Runnable task) {
    try {
      controlExecutor.execute(
          () -> {
            runAndLogFailure(task);
            publishIfUrgent();
          });
    } catch (RejectedExecutionException e) {
      logger.atFine().log("the control plane is closed");
    }
  }

  private void tick() {
    runAndLogFailure(stateMachine::tick);
    storeWorker.setListNeeded(
        !stateMachine.isReady()
            || stateMachine.relaySilenceNanos() > RELAY_SILENCE_BEFORE_LIST_NANOS);
    boolean isPublishDue = time.nanos() - lastPublishNanos >= MIN_PUBLISH_INTERVAL_NANOS;
    if (stateMachine.replicatedState().hasUrgentChange()
        || (isPublishDue && stateMachine.replicatedState().hasChanged())) {
      publish();
    }
  }

  /**
   * Logs a failure, so that one message that cannot be handled does not end the control thread and
   * with it the lease.
   */
  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
          "task of the control plane failed");
    }
  }

  private void publishIfUrgent() {
    if (stateMachine.replicatedState().hasUrgentChange()) {
      publish();
    }
  }

  private void publish() {
    lastPublishNanos = time.nanos();
    state = stateMachine.replicatedState().buildClusterState();
    zoneReports = new ArrayList<>(stateMachine.replicatedState().reports().values());
    if (readiness == Readiness.WAITING && stateMachine.isReady() && !state.contracts().isEmpty()) {
      readiness = Readiness.READY;
    }
    if (isDeliveryScheduled.compareAndSet(false, true)) {
      try {
        deliveryExecutor.execute(this::notifyListeners);
      } catch (RejectedExecutionException e) {
        logger.atFine().log("the control plane is closed");
      }
    }
  }

  private void notifyListeners() {
    isDeliveryScheduled.set(false);
    ClusterState currentState = state;
    for (Consumer<ClusterState> listener : listeners) {
      runAndLogFailure(() -> listener.accept(currentState));
    }
    Contract contract = currentState.contracts().get(customer);
    if (contract != null && contract.revision() != lastRevisionInForce) {
      lastRevisionInForce = contract.revision();
      events.record(
          EventKind.CONTRACT_IN_FORCE, "", customer, "", contract.revision(), "in force here");
      runOnControlThread(() -> stateMachine.onContractInForce(contract.revision()));
    }
  }

  private final class Effects implements ControlEffects {
    @Override
    public boolean send(String vm, InnerMessage message) {
      return links.send(vm, message);
    }

    @Override
    public void addPeerAddress(PeerAddress peer) {
      links.updateAddress(peer);
    }

    @Override
    public void startElectionCall(ElectionCall call) {
      storeWorker.startElectionCall(call, stateMachine.election(), new StoreResults());
    }

    @Override
    public void probeTarget(Holding holding, Consumer<Boolean> onAnswer) {
      targetProbe.probe(holding, idle -> runOnControlThread(() -> onAnswer.accept(idle)));
    }

    @Override
    public void setRelay(boolean newIsRelay) {
      isRelay = newIsRelay;
      storeWorker.setRelay(newIsRelay);
    }

    @Override
    public void revokeLease(long lease) {
      storeWorker.revokeLease(lease);
    }

    @Override
    public void onStateChanged() {
      // Nothing to do: the control thread checks for changes after each task.
    }

    @Override
    public void deliverPayload(String from, String topic, byte[] content) {
      topicDispatcher.deliver(from, topic, content);
    }
  }

  private final class LinkReceiver implements InnerLinks.Receiver {
    @Override
    public void onMessage(String vm, InnerMessage message) {
      if (!isStarted) {
        return;
      }
      runOnControlThread(() -> stateMachine.onMessage(vm, message));
    }

    @Override
    public void onLinkOpened(String vm) {
      if (!isStarted) {
        return;
      }
      runOnControlThread(() -> stateMachine.onLinkOpened(vm));
    }

    @Override
    public void onLinkLost(String vm) {
      events.record(EventKind.LINK_DROPPED, "", customer, vm, 0, "");
      runOnControlThread(() -> stateMachine.onLinkLost(vm));
    }
  }

  private final class StoreResults implements StoreWorker.Results {
    @Override
    public void runOnControlThread(Runnable task) {
      RelayControlPlane.this.runOnControlThread(task);
    }

    @Override
    public void onInitialRead(Optional<StoredValue> contract) {
      stateMachine.onInitialStoreRead(contract);
    }

    @Override
    public void onContractChanged(StoredValue contract) {
      stateMachine.onStoredContract(contract);
    }

    @Override
    public void onPlatformList(List<ListedVm> vms) {
      stateMachine.onPlatformList(vms);
    }
  }

  private final class Messages implements PeerMessages {
    @Override
    public boolean send(String vm, String topic, byte[] content) {
      return links.send(vm, new InnerMessage.Direct(new TopicPayload(topic, content)));
    }

    @Override
    public void broadcast(String topic, String id, byte[] content, Duration retention) {
      runOnControlThread(() -> stateMachine.broadcast(topic, id, content, retention));
    }

    @Override
    public void setReceiver(String topic, Receiver receiver) {
      topicDispatcher.register(topic, receiver);
    }
  }
}
