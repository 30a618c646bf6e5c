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
import org.sageladder.entry.control.ViewEvents;
import org.sageladder.entry.exchange.CallerExchange;
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
 * One entry VM's daemon: look-ups, gates and the path of each request.
 *
 * <pre>{@code
 * try (EntryDaemon daemon = EntryDaemon.start(EntrySettings.read(file))) {
 *   System.out.println(daemon.callersPort());
 * }
 * }</pre>
 */
public final class EntryDaemon implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONNECTIONS_PER_HOST = 390;
  private static final Duration LOAD_PERIOD = Duration.ofSeconds(1);
  private static final int EVENTS_PER_PAGE = 2_000;
  private static final Duration STOP_GRACE = Duration.ofSeconds(1);
  private static final Duration KEY_PERIOD = Duration.ofDays(1);

  private final EntrySettings settings;
  private final RelayControlPlane control;
  private final HttpListener callers;
  private final HttpListener operators;
  private final EventSink events;
  private final CountDownLatch drainAsked;
  private final PlannedStop plannedStop;
  private final OpenParts parts;

  private EntryDaemon(
      EntrySettings settings,
      RelayControlPlane control,
      HttpListener callers,
      HttpListener operators,
      EventSink events,
      CountDownLatch drainAsked,
      PlannedStop plannedStop,
      OpenParts parts) {
    this.settings = settings;
    this.control = control;
    this.callers = callers;
    this.operators = operators;
    this.events = events;
    this.drainAsked = drainAsked;
    this.plannedStop = plannedStop;
    this.parts = parts;
  }

  /**
   * Starts all parts; the ports are open when it returns.
   *
   * @throws IOException where a port cannot be opened or a needed answer is missing; what was
   *     opened before is closed again
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException, InterruptedException {
    OpenParts parts = OpenParts.none();
    try {
      return start(settings, parts);
    } catch (IOException | RuntimeException e) {
      parts.close();
      throw e;
    }
  }

  private static EntryDaemon start(EntrySettings settings, OpenParts parts)
      throws IOException, InterruptedException {
    TimeSource time = TimeSource.system();
    EventBuffer events = EventBuffer.withCapacity(settings.eventCapacity(), time);
    long startedMillis = time.wallMillis();
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    new JvmMemoryMetrics().bindTo(metrics);
    Store store = parts.add(HttpStore.connect(settings.store().uri(), settings.store().timeout()));
    VmList list = HttpVmList.connect(settings.vmList().uri(), settings.store().timeout());
    ScheduledExecutorService timers =
        Executors.newScheduledThreadPool(2, task -> new Thread(task, "timers"));
    parts.add(timers::shutdownNow);
    OutboundClient client =
        parts.add(OutboundClient.start(settings.callerLimits().workers(), CONNECTIONS_PER_HOST));
    PermitKeys permitKeys =
        PermitKeys.of(store, settings.customer(), KEY_PERIOD, new SecureRandom());
    Member self = self(settings, store, time);
    RelayControlPlane control =
        parts.add(controlPlane(settings, self, store, list, permitKeys, time, events));
    parts.add(KeyRefresher.start(permitKeys, time));
    ControlMetrics.bind(metrics, control);
    GateTable gates =
        parts.add(gates(settings, self.incarnation(), control.guard(), time, timers, events));
    RequestPipeline path =
        RequestPipeline.assemble(
            settings, client, timers, time, events, metrics, control, gates, permitKeys::ring);
    InFlightCounter inFlight = InFlightCounter.create();
    PlannedStop plannedStop = plannedStop(settings, control, inFlight, path, client, time);
    parts.add(LoadPoller.start(gates, client, time, timers, LOAD_PERIOD));
    gates.useHistorySender(
        HttpHistorySender.of(self, settings.customer(), path.codec(), client, time));
    control.onChange(gates::applyState);
    control.onChange(ViewEvents.of(settings.vm(), settings.zone(), settings.customer(), events));
    control.onChange(path::applyState);
    control.summaries(gates::summaries);
    control.targets(gates::targetReports);
    control.targetProbe(HttpTargetProbe.of(client));
    gauges(metrics, control, settings.customer());
    CountDownLatch drainAsked = new CountDownLatch(1);
    OperatorPort operatorPort =
        OperatorPort.of(
            settings.vm(),
            metrics,
            control,
            gates,
            after ->
                EventPage.of(
                    settings.vm(), startedMillis, settings.zone(), events, after, EVENTS_PER_PAGE),
            path.lookUpExplainer(),
            drainAsked::countDown);
    HttpListener operators =
        parts.add(
            HttpListener.open(
                settings.host(),
                settings.ports().operators(),
                limits(settings, 1),
                () -> CallerExchange.create(operatorPort)));
    HttpListener callers =
        parts.add(
            HttpListener.open(
                settings.host(),
                settings.ports().callers(),
                limits(settings, settings.callerLimits().workers()),
                () -> CallerExchange.create(path.router(), inFlight)));
    connectionMetrics(metrics, callers);
    path.advertiseAddress(settings.host(), callers.port());
    control.serving(callers.port());
    events.record(EventKind.STARTED, "", settings.customer(), settings.zone(), 0, settings.vm());
    logger.atInfo().log(
        "%s serves callers on %s:%d and operators on port %d",
        settings.vm(), settings.host(), callers.port(), operators.port());
    return new EntryDaemon(
        settings, control, callers, operators, events, drainAsked, plannedStop, parts);
  }

  private static ConnectionLimits limits(EntrySettings settings, int workers) {
    EntrySettings.CallerLimits limits = settings.callerLimits();
    return new ConnectionLimits(workers, limits.headBytes(), limits.connections(), limits.idle());
  }

  private static PlannedStop plannedStop(
      EntrySettings settings,
      ControlPlane control,
      InFlightCounter inFlight,
      RequestPipeline path,
      OutboundClient client,
      TimeSource time) {
    return PlannedStop.of(
        control,
        inFlight,
        path.issuer(),
        PermitHandOver.of(
            settings.vm(),
            settings.zone(),
            settings.customer(),
            control,
            path.issuer(),
            path.codec(),
            PermitHome.Limits.standard(),
            client,
            time),
        time,
        PlannedStop.Limits.standard());
  }

  private static GateTable gates(
      EntrySettings settings,
      long incarnation,
      HoldingGuard guard,
      TimeSource time,
      ScheduledExecutorService timers,
      EventSink events) {
    // Each request that waits holds a caller's connection. Without a common bound background work
    // could hold them all, and a bid would find no connection to come in by.
    QueueBudget waits = QueueBudget.of(settings.callerLimits().connections());
    return GateTable.create(
        settings.vm(),
        settings.zone(),
        settings.customer(),
        time,
        incarnation,
        service ->
            ServiceGate.create(
                settings.customer(), service, time, Scheduler.of(timers), events, waits, guard));
  }

  private static Member self(EntrySettings settings, Store store, TimeSource time)
      throws IOException {
    long incarnation;
    try {
      incarnation =
          Incarnations.atStart(
              settings.incarnation(), settings.customer(), settings.vm(), store, time);
    } catch (StoreException e) {
      throw new IOException(
          "incarnation.source is store, and the store gives no answer: " + e.getMessage(), e);
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

  private static RelayControlPlane controlPlane(
      EntrySettings settings,
      Member self,
      Store store,
      VmList list,
      PermitKeys keys,
      TimeSource time,
      EventSink events)
      throws IOException {
    List<PeerAddress> seeds =
        settings.seeds().stream()
            .map(seed -> new PeerAddress("", seed.host(), seed.port()))
            .toList();
    ControlSettings control =
        new ControlSettings(settings.customer(), self, seeds, settings.vmList().every());
    InnerKeys innerKeys = InnerKeys.of(settings.innerKeys(), keys::storedRing);
    return RelayControlPlane.start(control, store, list, innerKeys, time, events);
  }

  private static void gauges(
      PrometheusMeterRegistry metrics, ControlPlane control, String customer) {
    Gauge.builder(
            "sageladder.contract.revision",
            control,
            plane -> {
              var contract = plane.state().contracts().get(customer);
              return contract == null ? 0 : contract.revision();
            })
        .description("Revision of the contract in force here, 0 while none is")
        .register(metrics);
  }

  private static void connectionMetrics(PrometheusMeterRegistry metrics, HttpListener callers) {
    Gauge.builder("sageladder.callers.connections", callers, HttpListener::openConnections)
        .description("Open connections at the callers' port")
        .register(metrics);
    FunctionCounter.builder(
            "sageladder.callers.connections.refused", callers, HttpListener::refusedConnections)
        .description("Connections closed at once, since callerLimits.connections were open")
        .register(metrics);
  }

  /** The port that callers use. */
  public int callersPort() {
    return callers.port();
  }

  /** The port that peers use. */
  public int innerPort() {
    return control.innerPort();
  }

  /** The port that operators' tools use. */
  public int operatorsPort() {
    return operators.port();
  }

  /** Whether this entry VM may serve what needs a contract. */
  public ControlPlane.Readiness readiness() {
    return control.readiness();
  }

  /** True once a contract is in force here and {@code members} entry VMs are known. */
  public boolean isServing(int members) {
    long known =
        control.state().views().values().stream().mapToLong(view -> view.members().size()).sum();
    return readiness() == ControlPlane.Readiness.READY && known >= members;
  }

  /** Returns once an operator has asked for a planned stop; the caller then stops the daemon. */
  public void awaitDrainAsked() throws InterruptedException {
    drainAsked.await();
  }

  /** A planned stop: takes no new duties, lets what is in flight end, then closes. */
  public PlannedStop.Outcome stop() throws InterruptedException {
    events.record(EventKind.STOPPING, "", settings.customer(), "", 0, settings.vm());
    PlannedStop.Outcome outcome = plannedStop.run();
    callers.stop(Timeout.of(STOP_GRACE));
    close();
    return outcome;
  }

  @Override
  public void close() {
    parts.close();
    events.record(EventKind.STOPPED, "", settings.customer(), "", 0, settings.vm());
  }
}
