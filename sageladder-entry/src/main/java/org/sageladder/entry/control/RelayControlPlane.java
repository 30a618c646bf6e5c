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
 * The control plane in which one relay a zone talks to the platform and entry VMs hear the rest
 * from each other.
 *
 * <p>Threads: one control thread owns the {@link ControlMachine}; the links' thread and the store's
 * threads hand everything to it; one thread of its own calls the listeners, so that a slow listener
 * does not look like a pause of this VM.
 */
public final class RelayControlPlane implements ControlPlane {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long QUIET_PUBLISH_NANOS = Duration.ofMillis(500).toNanos();
  private static final long ALONE_NANOS = Duration.ofSeconds(5).toNanos();
  private static final double STORE_CALLS_PER_SECOND = 4;
  private static final double STORE_CALLS_BURST = 20;

  private final TimeSource time;
  private final EventSink events;
  private final BudgetedStore store;
  private final StoreWorker worker;
  private final ControlMachine machine;
  private final InnerLinks links;
  private final TopicTable topics = new TopicTable();
  private final List<Consumer<ClusterState>> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService control =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
  private final ExecutorService delivery =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "state"));
  private final AtomicBoolean deliveryDue = new AtomicBoolean();
  private final String customer;
  private volatile ClusterState state = ClusterState.empty();
  private volatile List<ZoneReport> reports = List.of();
  private volatile Readiness readiness = Readiness.WAITING;
  private volatile boolean relaying;
  // Without one no target of a silent zone ever answers, and none is taken over.
  private volatile TargetProbe targetProbe = (target, answer) -> {};
  // Peers may connect before the constructor is done; what they say until then is dropped.
  private volatile boolean begun;
  private long lastPublishNanos;
  // Written and read by the delivery thread alone.
  private long lastRevision;

  private RelayControlPlane(
      ControlSettings settings,
      ControlTimes times,
      BudgetedStore store,
      Supplier<Optional<KeyRing>> keys,
      TimeSource time,
      EventSink events)
      throws IOException {
    Member self = settings.self();
    this.time = time;
    this.events = events;
    this.store = store;
    this.customer = settings.customer();
    this.worker =
        new StoreWorker(
            store, customer, settings.listPeriod(), times.relay().leaseTimeToLive(), events);
    this.links =
        InnerLinks.open(
            self.host(),
            self.innerPort(),
            new LinkIdentity(self.vm(), customer, self.incarnation()),
            keys,
            new Inbox());
    Member reachable =
        new Member(
            self.vm(),
            self.zone(),
            self.incarnation(),
            self.host(),
            self.port(),
            links.port(),
            false);
    ControlIdentity identity = new ControlIdentity(customer, reachable);
    this.machine =
        new ControlMachine(identity, times, time, new SplittableRandom(), new Effects(), events);
  }

  /**
   * Opens the inner port and starts to look for peers and the store.
   *
   * @param settings who this VM is; its callers' port must be one that peers can be told
   * @param keys the customer's keys for the inner protocol, empty while not known
   * @throws IOException where the inner port cannot be opened
   */
  public static RelayControlPlane start(
      ControlSettings settings,
      Store store,
      VmList list,
      Supplier<Optional<KeyRing>> keys,
      TimeSource time,
      EventSink events)
      throws IOException {
    BudgetedStore budgeted =
        BudgetedStore.of(store, list, time, STORE_CALLS_PER_SECOND, STORE_CALLS_BURST);
    RelayControlPlane plane =
        new RelayControlPlane(settings, ControlTimes.standard(), budgeted, keys, time, events);
    plane.begin(settings.seeds());
    return plane;
  }

  private void begin(List<PeerAddress> seeds) {
    begun = true;
    seeds.forEach(seed -> links.introduce(seed.host(), seed.port()));
    worker.start(
        new StoreResults(),
        () -> state.contracts().values().stream().mapToLong(Contract::revision).max().orElse(0));
    ScheduledFuture<?> unused =
        control.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public ClusterState state() {
    return state;
  }

  @Override
  public void onChange(Consumer<ClusterState> listener) {
    listeners.add(listener);
    delivery.execute(() -> listener.accept(state));
  }

  @Override
  public void summaries(Supplier<List<ZoneSummary>> own) {
    onControl(() -> machine.summaries(own));
  }

  @Override
  public void targets(Supplier<List<TargetReport>> own) {
    onControl(() -> machine.targets(own));
  }

  /** Sets how targets of a silent zone are asked whether they can be reached. */
  public void targetProbe(TargetProbe probe) {
    targetProbe = probe;
  }

  @Override
  public HoldingGuard guard() {
    return machine.guard();
  }

  @Override
  public void serving(int callersPort) {
    onControl(() -> machine.serving(callersPort));
  }

  @Override
  public PeerMessages messages() {
    return new Messages();
  }

  @Override
  public List<ZoneReport> reports() {
    return reports;
  }

  @Override
  public boolean relaying() {
    return relaying;
  }

  /** What went over the links. */
  public LinkCounters linkCounters() {
    return links.counters();
  }

  /** Open connections with peers. */
  public int openLinks() {
    return links.openLinks();
  }

  /** Store calls made since the start by kind. */
  public Map<String, Long> storeCalls() {
    return store.counts();
  }

  /** Store calls that the budget refused. */
  public long storeCallsRefused() {
    return store.refusedCalls();
  }

  /** The inner protocol's port. */
  public int innerPort() {
    return links.port();
  }

  @Override
  public void beginLeaving() {
    readiness = Readiness.LEAVING;
    onControl(machine::leave);
  }

  @Override
  public Readiness readiness() {
    return readiness;
  }

  @Override
  public void close() {
    worker.close();
    control.shutdownNow();
    delivery.shutdownNow();
    links.close();
  }

  private void onControl(Runnable task) {
    try {
      control.execute(
          () -> {
            run(task);
            publishIfUrgent();
          });
    } catch (RejectedExecutionException e) {
      logger.atFine().log("the control plane is closed");
    }
  }

  private void tick() {
    run(machine::tick);
    worker.listWanted(!machine.ready() || machine.relaySilenceNanos() > ALONE_NANOS);
    boolean due = time.nanos() - lastPublishNanos >= QUIET_PUBLISH_NANOS;
    if (machine.known().urgentlyChanged() || (due && machine.known().changed())) {
      publish();
    }
  }

  /** A defect in one message's handling must not end the control thread, and with it the lease. */
  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
          "a step of the control plane failed");
    }
  }

  private void publishIfUrgent() {
    if (machine.known().urgentlyChanged()) {
      publish();
    }
  }

  private void publish() {
    lastPublishNanos = time.nanos();
    state = machine.known().snapshot();
    reports = new ArrayList<>(machine.known().reports().values());
    if (readiness == Readiness.WAITING && machine.ready() && !state.contracts().isEmpty()) {
      readiness = Readiness.READY;
    }
    if (deliveryDue.compareAndSet(false, true)) {
      try {
        delivery.execute(this::deliver);
      } catch (RejectedExecutionException e) {
        logger.atFine().log("the control plane is closed");
      }
    }
  }

  private void deliver() {
    deliveryDue.set(false);
    ClusterState now = state;
    for (Consumer<ClusterState> listener : listeners) {
      run(() -> listener.accept(now));
    }
    Contract contract = now.contracts().get(customer);
    if (contract != null && contract.revision() != lastRevision) {
      lastRevision = contract.revision();
      events.record(
          EventKind.CONTRACT_IN_FORCE, "", customer, "", contract.revision(), "in force here");
      onControl(() -> machine.inForce(contract.revision()));
    }
  }

  private final class Effects implements ControlEffects {
    @Override
    public boolean send(String vm, InnerMessage message) {
      return links.send(vm, message);
    }

    @Override
    public void address(PeerAddress peer) {
      links.address(peer);
    }

    @Override
    public void call(ElectionCall call) {
      worker.call(call, machine.duty(), new StoreResults());
    }

    @Override
    public void probe(Holding target, Consumer<Boolean> answer) {
      targetProbe.ask(target, idle -> onControl(() -> answer.accept(idle)));
    }

    @Override
    public void relaying(boolean now) {
      relaying = now;
      worker.relaying(now);
    }

    @Override
    public void revoke(long lease) {
      worker.revoke(lease);
    }

    @Override
    public void stateChanged() {
      // The change is seen after each step of the control thread.
    }

    @Override
    public void payload(String from, String topic, byte[] content) {
      topics.deliver(from, topic, content);
    }
  }

  private final class Inbox implements InnerLinks.Receiver {
    @Override
    public void received(String vm, InnerMessage message) {
      if (!begun) {
        return;
      }
      onControl(() -> machine.received(vm, message));
    }

    @Override
    public void opened(String vm) {
      if (!begun) {
        return;
      }
      onControl(() -> machine.opened(vm));
    }

    @Override
    public void lost(String vm) {
      events.record(EventKind.LINK_DROPPED, "", customer, vm, 0, "");
      onControl(() -> machine.lost(vm));
    }
  }

  private final class StoreResults implements StoreWorker.Results {
    @Override
    public void onControl(Runnable task) {
      RelayControlPlane.this.onControl(task);
    }

    @Override
    public void firstRead(Optional<StoredValue> contract) {
      machine.storeAnswered(contract);
    }

    @Override
    public void watched(StoredValue contract) {
      machine.storedContract(contract);
    }

    @Override
    public void listed(List<ListedVm> lines) {
      machine.listed(lines);
    }
  }

  private final class Messages implements PeerMessages {
    @Override
    public boolean send(String vm, String topic, byte[] content) {
      return links.send(vm, new InnerMessage.Direct(new TopicPayload(topic, content)));
    }

    @Override
    public void broadcast(String topic, String id, byte[] content, Duration keep) {
      onControl(() -> machine.announce(topic, id, content, keep));
    }

    @Override
    public void setReceiver(String topic, Receiver receiver) {
      topics.on(topic, receiver);
    }
  }
}
