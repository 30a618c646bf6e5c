package org.sageladder.entry;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.core5.util.Timeout;
import org.sageladder.core.event.EventBuffer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.QueueBudget;
import org.sageladder.core.limits.Scheduler;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.permit.PermitKeys;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlMetrics;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.control.ControlSettings;
import org.sageladder.entry.control.HttpTargetProbe;
import org.sageladder.entry.control.Incarnations;
import org.sageladder.entry.control.InnerKeys;
import org.sageladder.entry.control.RelayControlPlane;
import org.sageladder.entry.control.ViewEventRecorder;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.ExchangeMemory;
import org.sageladder.entry.exchange.InFlightCounter;
import org.sageladder.entry.exchange.OutboundClient;
import org.sageladder.entry.gates.GateTable;
import org.sageladder.entry.gates.LoadPoller;
import org.sageladder.entry.http.ConnectionLimits;
import org.sageladder.entry.http.HttpListener;
import org.sageladder.entry.http.OperatorPort;
import org.sageladder.entry.request.HttpHistorySender;
import org.sageladder.entry.request.RequestPipeline;
import org.sageladder.entry.settings.EntrySettings;
import org.sageladder.entry.stop.PermitHandOver;
import org.sageladder.entry.stop.PlannedStop;
import org.sageladder.platform.event.EventPage;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.platform.store.HttpVmList;
import org.sageladder.protocol.PeerAddress;

/**
 * The daemon of an entry VM: look-ups, service gates and request forwarding.
 *
 * <pre>{@code
 * try (EntryDaemon daemon = EntryDaemon.start(EntrySettings.read(file))) {
 *   System.out.println(daemon.callersPort());
 * }
 * }</pre>
 */
public final class EntryDaemon implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_HOST_CONNECTIONS = 390;
  private static final Duration LOAD_POLL_INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_PAGE_EVENTS = 2_000;
  private static final Duration STOP_GRACE = Duration.ofSeconds(1);

  /** Heap of a connection whose caller sends a body: buffers, window and objects. */
  private static final long CONNECTION_BYTES = 16 << 10;

  private static final int HEAP_TO_CALLERS_RATIO = 2;
  private static final int HEAP_TO_OPERATORS_RATIO = 16;
  private static final Duration KEY_ROTATION_PERIOD = Duration.ofDays(1);

  private final EntrySettings settings;
  private final RelayControlPlane controlPlane;
  private final HttpListener callersListener;
  private final HttpListener operatorsListener;
  private final EventSink events;
  private final CountDownLatch drainRequested;
  private final PlannedStop plannedStop;
  private final GateTable gates;
  private final ResourceStack resources;

  private EntryDaemon(
      EntrySettings settings,
      RelayControlPlane controlPlane,
      HttpListener callersListener,
      HttpListener operatorsListener,
      EventSink events,
      CountDownLatch drainRequested,
      PlannedStop plannedStop,
      GateTable gates,
      ResourceStack resources) {
    this.settings = settings;
    this.controlPlane = controlPlane;
    this.callersListener = callersListener;
    this.operatorsListener = operatorsListener;
    this.events = events;
    this.drainRequested = drainRequested;
    this.plannedStop = plannedStop;
    this.gates = gates;
    this.resources = resources;
  }

  /**
   * Starts the daemon; the ports are open when this method returns.
   *
   * @throws IOException if a port cannot be opened or the incarnation cannot be read from the
   *     store; everything opened before is closed again
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException, InterruptedException {
    ResourceStack resources = ResourceStack.empty();
    try {
      return start(settings, resources);
    } catch (IOException | RuntimeException e) {
      resources.close();
      throw e;
    }
  }

  private static EntryDaemon start(EntrySettings settings, ResourceStack resources)
      throws IOException, InterruptedException {
    TimeSource time = TimeSource.system();
    EventBuffer events = EventBuffer.withCapacity(settings.eventCapacity(), time);
    long startedMillis = time.wallMillis();
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    new JvmMemoryMetrics().bindTo(metrics);
    Store store =
        resources.add(HttpStore.connect(settings.store().uri(), settings.store().timeout()));
    VmList vmList = HttpVmList.connect(settings.vmList().uri(), settings.store().timeout());
    ScheduledExecutorService timers =
        Executors.newScheduledThreadPool(2, task -> new Thread(task, "timers"));
    resources.add(timers::shutdownNow);
    OutboundClient client =
        resources.add(
            OutboundClient.start(settings.callerLimits().workerThreads(), MAX_HOST_CONNECTIONS));
    PermitKeys permitKeys =
        PermitKeys.of(store, settings.customer(), KEY_ROTATION_PERIOD, new SecureRandom());
    Member self = createSelf(settings, store, time);
    RelayControlPlane control =
        resources.add(startControlPlane(settings, self, store, vmList, permitKeys, time, events));
    resources.add(KeyRefresher.start(permitKeys, time));
    GateTable gates =
        createGateTable(settings, self.incarnation(), control.guard(), time, timers, events);
    RequestPipeline pipeline =
        RequestPipeline.assemble(
            settings, client, timers, time, events, metrics, control, gates, permitKeys::ring);
    InFlightCounter inFlight = InFlightCounter.create();
    PlannedStop plannedStop =
        createPlannedStop(settings, control, inFlight, pipeline, client, time);
    resources.add(LoadPoller.start(gates, client, time, timers, LOAD_POLL_INTERVAL));
    gates.useHistorySender(
        HttpHistorySender.of(self, settings.customer(), pipeline.codec(), client, time));
    connect(control, gates, pipeline, client, settings, events, metrics);
    CountDownLatch drainRequested = new CountDownLatch(1);
    OperatorPort operatorPort =
        OperatorPort.of(
            settings.vm(),
            metrics,
            control,
            gates,
            after ->
                EventPage.of(
                    settings.vm(), startedMillis, settings.zone(), events, after, MAX_PAGE_EVENTS),
            pipeline.lookUpExplainer(),
            drainRequested::countDown);
    HttpListener operators = resources.add(openOperatorsPort(settings, operatorPort));
    ExchangeMemory callersMemory = ExchangeMemory.ofHeap();
    HttpListener callers =
        resources.add(
            HttpListener.open(
                settings.host(),
                settings.ports().callers(),
                connectionLimits(
                    settings, settings.callerLimits().workerThreads(), HEAP_TO_CALLERS_RATIO),
                () -> CallerExchange.create(pipeline.router(), inFlight, callersMemory)));
    // Closed before the ports, so that waiting callers get their refusals.
    resources.add(gates);
    registerConnectionMetrics(metrics, callers);
    pipeline.advertiseAddress(settings.host(), callers.port());
    control.startServing(callers.port());
    events.record(EventKind.STARTED, "", settings.customer(), settings.zone(), 0, settings.vm());
    logger.atInfo().log(
        "%s serves callers on %s:%d and operators on port %d",
        settings.vm(), settings.host(), callers.port(), operators.port());
    return new EntryDaemon(
        settings,
        control,
        callers,
        operators,
        events,
        drainRequested,
        plannedStop,
        gates,
        resources);
  }

  private static void connect(
      RelayControlPlane control,
      GateTable gates,
      RequestPipeline pipeline,
      OutboundClient client,
      EntrySettings settings,
      EventSink events,
      PrometheusMeterRegistry metrics) {
    ControlMetrics.bind(metrics, control);
    registerContractGauge(metrics, control, settings.customer());
    control.onChange(gates::applyState);
    control.onChange(
        ViewEventRecorder.of(settings.vm(), settings.zone(), settings.customer(), events));
    control.onChange(pipeline::applyState);
    control.setSummarySource(gates::summaries);
    control.setTargetReportSource(gates::targetReports);
    control.setTargetProbe(HttpTargetProbe.of(client));
  }

  private static HttpListener openOperatorsPort(EntrySettings settings, OperatorPort port)
      throws IOException, InterruptedException {
    InFlightCounter inFlight = InFlightCounter.create();
    ExchangeMemory memory = ExchangeMemory.ofHeap();
    return HttpListener.open(
        settings.host(),
        settings.ports().operators(),
        connectionLimits(settings, 1, HEAP_TO_OPERATORS_RATIO),
        () -> CallerExchange.create(port, inFlight, memory));
  }

  /**
   * Limits of one port.
   *
   * @param heapRatio the connections may take this part of the heap, such as 2 for a half
   */
  private static ConnectionLimits connectionLimits(
      EntrySettings settings, int workerThreads, int heapRatio) {
    EntrySettings.CallerLimits limits = settings.callerLimits();
    long maxByHeap = Runtime.getRuntime().maxMemory() / heapRatio / CONNECTION_BYTES;
    return new ConnectionLimits(
        workerThreads,
        limits.maxHeadBytes(),
        (int) Math.min(limits.maxConnections(), maxByHeap),
        limits.idleTimeout());
  }

  private static PlannedStop createPlannedStop(
      EntrySettings settings,
      ControlPlane controlPlane,
      InFlightCounter inFlight,
      RequestPipeline pipeline,
      OutboundClient client,
      TimeSource time) {
    return PlannedStop.of(
        controlPlane,
        inFlight,
        pipeline.issuer(),
        PermitHandOver.of(
            settings.vm(),
            settings.zone(),
            settings.customer(),
            controlPlane,
            pipeline.issuer(),
            pipeline.codec(),
            PermitHome.Limits.standard(),
            client,
            time),
        time,
        PlannedStop.Limits.standard());
  }

  private static GateTable createGateTable(
      EntrySettings settings,
      long incarnation,
      HoldingGuard guard,
      TimeSource time,
      ScheduledExecutorService timers,
      EventSink events) {
    // Each waiting request occupies a caller's connection. Without a common limit, background
    // requests could occupy all of them and leave none for requests such as auction bids.
    QueueBudget queueBudget = QueueBudget.of(settings.callerLimits().maxConnections());
    return GateTable.create(
        settings.vm(),
        settings.zone(),
        settings.customer(),
        time,
        incarnation,
        service ->
            ServiceGate.create(
                settings.customer(),
                service,
                time,
                Scheduler.of(timers),
                events,
                queueBudget,
                guard));
  }

  private static Member createSelf(EntrySettings settings, Store store, TimeSource time)
      throws IOException {
    long incarnation;
    try {
      incarnation =
          Incarnations.forThisStart(
              settings.incarnation(), settings.customer(), settings.vm(), store, time);
    } catch (StoreException e) {
      throw new IOException(
          "incarnation.source is store, but the store does not answer: " + e.getMessage(), e);
    }
    return new Member(
        settings.vm(),
        settings.zone(),
        incarnation,
        settings.host(),
        0,
        settings.ports().inner(),
        false);
  }

  private static RelayControlPlane startControlPlane(
      EntrySettings settings,
      Member self,
      Store store,
      VmList vmList,
      PermitKeys permitKeys,
      TimeSource time,
      EventSink events)
      throws IOException {
    List<PeerAddress> seeds =
        settings.seeds().stream()
            .map(seed -> new PeerAddress("", seed.host(), seed.port()))
            .toList();
    ControlSettings controlSettings =
        new ControlSettings(settings.customer(), self, seeds, settings.vmList().fetchInterval());
    InnerKeys innerKeys = InnerKeys.of(settings.innerKeys(), permitKeys::storedRing);
    return RelayControlPlane.start(controlSettings, store, vmList, innerKeys, time, events);
  }

  private static void registerContractGauge(
      PrometheusMeterRegistry metrics, ControlPlane controlPlane, String customer) {
    Gauge.builder(
            "sageladder.contract.revision",
            controlPlane,
            plane -> {
              var contract = plane.state().contracts().get(customer);
              return contract == null ? 0 : contract.revision();
            })
        .description("Revision of the contract in force here, 0 while none is")
        .register(metrics);
  }

  private static void registerConnectionMetrics(
      PrometheusMeterRegistry metrics, HttpListener callersListener) {
    Gauge.builder(
            "sageladder.callers.connections", callersListener, HttpListener::openConnectionCount)
        .description("Open connections at the callers' port")
        .register(metrics);
    FunctionCounter.builder(
            "sageladder.callers.connections.refused",
            callersListener,
            HttpListener::refusedConnectionCount)
        .description("Connections closed at once, since callerLimits.connections were open")
        .register(metrics);
  }

  /** The port for callers. */
  public int callersPort() {
    return callersListener.port();
  }

  /** The port for peers. */
  public int innerPort() {
    return controlPlane.innerPort();
  }

  /** The port for operators and their tools. */
  public int operatorsPort() {
    return operatorsListener.port();
  }

  /** Whether this entry VM may serve requests that need a contract. */
  public ControlPlane.Readiness readiness() {
    return controlPlane.readiness();
  }

  /** Whether a contract is in force here and at least {@code minMembers} entry VMs are known. */
  public boolean isServing(int minMembers) {
    long knownMembers =
        controlPlane.state().views().values().stream()
            .mapToLong(view -> view.members().size())
            .sum();
    return readiness() == ControlPlane.Readiness.READY && knownMembers >= minMembers;
  }

  /** Waits until an operator requests a planned stop; the caller then stops the daemon. */
  public void awaitDrainRequest() throws InterruptedException {
    drainRequested.await();
  }

  /**
   * Performs a planned stop: announces that this VM leaves, waits for requests in flight, then
   * closes the daemon.
   */
  public PlannedStop.Outcome stop() throws InterruptedException {
    events.record(EventKind.STOPPING, "", settings.customer(), "", 0, settings.vm());
    PlannedStop.Outcome outcome = plannedStop.run();
    gates.close();
    callersListener.stop(Timeout.of(STOP_GRACE));
    close();
    return outcome;
  }

  @Override
  public void close() {
    resources.close();
    events.record(EventKind.STOPPED, "", settings.customer(), "", 0, settings.vm());
  }
}
