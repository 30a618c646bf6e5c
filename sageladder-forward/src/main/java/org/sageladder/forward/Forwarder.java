package org.sageladder.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.ColdTargetLimiter;
import org.sageladder.core.placing.Placement;
import org.sageladder.core.placing.PlacementWeights;
import org.sageladder.core.placing.RegionShiftLimiter;
import org.sageladder.core.placing.RoundTripTimes;
import org.sageladder.core.placing.RunTimes;
import org.sageladder.core.placing.ServiceRetryBudget;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetTable;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quota.QuotaTolerance;
import org.sageladder.core.quota.Quotas;
import org.sageladder.core.routing.CallerLimits;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.SmoothWeightedRoundRobin;

/**
 * Takes callers' requests on one port and carries each to a target and its answer back.
 *
 * <p>All methods are called on the loop's thread.
 */
public final class Forwarder {
  /** Connections are looked at for heads and idleness that take too long. */
  private static final long SWEEP_INTERVAL_MILLIS = 250;

  /** How much longer than expected a request may take that a leaving VM still takes. */
  private static final double RUN_TIME_SAFETY_FACTOR = 2;

  /** Work moves to where there is room within some runs of a request. */
  private static final long SHIFT_BOUND_LIFTED_MILLIS = 4_000;

  private final String region;
  private final Loop loop;
  private final Dialect dialect;
  private final EventSink log;
  private final Metrics metrics;
  private final RequestLog requestLog;
  private final TargetTable targets = TargetTable.create();
  private final RoundTripTimes distances;
  private final ColdTargetLimiter coldAllowance;
  private final ServiceRetryBudget retryAllowance;
  private final RegionShiftLimiter shiftBound;
  private final RunTimes runTimes;
  private final Placement placement;
  private final TargetConnectionPool connectionPool;
  private final CrashDetector crashDetector;
  private final Map<String, SmoothWeightedRoundRobin> serviceRotations = new HashMap<>();
  private final Set<CallerConnection> callerConnections = new LinkedHashSet<>();
  private final Set<Attempt> attempts = new LinkedHashSet<>();
  private final Random random;
  private @Nullable RoutingRules rules;
  private @Nullable Channel serverChannel;
  private final Quotas quotas;
  private BooleanSupplier staleRulesCheck = () -> false;
  private boolean isStopping;
  private long stopDeadlineMillis;
  private int inFlightCount;

  /**
   * What an entry VM is told about itself and its bounds.
   *
   * @param name its name
   * @param zoneFraction share of all zones that its region has
   * @param coldRateFactor factor on a cold target's rate that all entry VMs may reach together
   * @param coldSlackPerSecond requests beyond that in a second
   * @param retryRatio second sends allowed for each request, all entry VMs together
   * @param extraRetriesPerWindow second sends allowed besides in a window
   * @param retryWindowMillis length of the window
   * @param maxShiftFraction part of a region's requests that may change region within two seconds
   * @param quotaBounds how exactly quotas of workspaces are kept
   * @param discoveryMillis time in which a VM that has started is known to all others
   * @param isFirstStart true where the whole system starts for the first time
   */
  public record Options(
      String name,
      String zone,
      String region,
      double zoneFraction,
      double coldRateFactor,
      int coldSlackPerSecond,
      double retryRatio,
      double extraRetriesPerWindow,
      long retryWindowMillis,
      double maxShiftFraction,
      QuotaTolerance quotaBounds,
      long discoveryMillis,
      boolean isFirstStart) {}

  private Forwarder(Loop loop, Dialect dialect, Options options, EventSink log, Metrics metrics) {
    this.region = options.region();
    this.loop = loop;
    this.dialect = dialect;
    this.log = log;
    this.metrics = metrics;
    this.requestLog = new RequestLog(log, metrics);
    this.distances = RoundTripTimes.from(options.zone(), options.region());
    this.coldAllowance =
        ColdTargetLimiter.of(
            options.name(), options.coldRateFactor(), options.coldSlackPerSecond());
    this.retryAllowance =
        ServiceRetryBudget.of(
            options.retryRatio(), options.extraRetriesPerWindow(), options.retryWindowMillis());
    this.shiftBound = RegionShiftLimiter.of(options.maxShiftFraction());
    this.runTimes = RunTimes.create(shiftBound::settleMillis);
    this.placement =
        Placement.among(
            targets, distances, runTimes, coldAllowance, shiftBound, PlacementWeights.standard());
    placement.updateZoneShare(options.zoneFraction());
    this.connectionPool = new TargetConnectionPool(loop, dialect);
    this.crashDetector = new CrashDetector(loop, log);
    this.random = new Random(options.name().hashCode());
    this.quotas =
        Quotas.of(
            options.name(),
            options.quotaBounds(),
            options.discoveryMillis(),
            Quotas.Peers.none(),
            loop.nowMillis());
    if (options.isFirstStart()) {
      quotas.assumeNoPriorUse();
    }
  }

  /** A forwarder that knows no configuration and no target, and listens on no port yet. */
  public static Forwarder create(
      Loop loop, Dialect dialect, Options options, EventSink log, Metrics metrics) {
    Forwarder forwarder = new Forwarder(loop, dialect, options, log, metrics);
    loop.scheduleAtFixedRate(SWEEP_INTERVAL_MILLIS, forwarder::sweep);
    return forwarder;
  }

  /** Opens the callers' port. */
  public void listen(String host, int port, Runnable opened, Consumer<Throwable> failed) {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            CallerConnection connection = new CallerConnection(Forwarder.this);
            callerConnections.add(connection);
            connection.install(channel.pipeline());
          }
        };
    loop.listen(host, port, initializer)
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                failed.accept(done.cause());
                return;
              }
              serverChannel = done.channel();
              opened.run();
            });
  }

  /** Port that is open, or empty. */
  public Optional<Integer> port() {
    Channel open = serverChannel;
    return open == null
        ? Optional.empty()
        : Optional.of(((InetSocketAddress) open.localAddress()).getPort());
  }

  /** Puts newer rules in force; older ones than those in force have no effect. */
  public boolean applyRules(RoutingRules newRules) {
    RoutingRules known = rules;
    if (known != null && newRules.version() <= known.version()) {
      return false;
    }
    rules = newRules;
    Set<String> routes = newRules.routeNames();
    runTimes.retainRoutes(routes);
    serviceRotations.keySet().retainAll(routes);
    quotas.updateWorkspaces(newRules.keys().workspaces());
    return true;
  }

  /** The quotas of workspaces. */
  public Quotas quotas() {
    return quotas;
  }

  /** Asks {@code source} from now on whether newer rules than those in force may exist unseen. */
  public void setStaleRulesCheck(BooleanSupplier source) {
    staleRulesCheck = source;
  }

  /** True where this VM is out of contact with the store. */
  boolean mayHaveStaleRules() {
    return staleRulesCheck.getAsBoolean();
  }

  /** The rules in force, or null before the first were seen. */
  public @Nullable RoutingRules rules() {
    return rules;
  }

  /** The targets that are known. */
  public TargetTable targets() {
    return targets;
  }

  /** Puts newer bounds in force; name, zone and region are those of the start. */
  public void updateBounds(Options newOptions) {
    coldAllowance.updateLimits(newOptions.coldRateFactor(), newOptions.coldSlackPerSecond());
    retryAllowance.updateLimits(
        newOptions.retryRatio(),
        newOptions.extraRetriesPerWindow(),
        newOptions.retryWindowMillis());
    shiftBound.updateLimit(newOptions.maxShiftFraction());
    quotas.updateTolerance(newOptions.quotaBounds());
  }

  /** Tells which entry VMs are live, and how many were seen at once. */
  public void updateEntries(List<ColdTargetLimiter.EntryVmLocation> live) {
    coldAllowance.updateEntryVms(live, loop.nowMillis());
    retryAllowance.updateEntryVmCount(live.size());
    int near = (int) live.stream().filter(vm -> vm.region().equals(region)).count();
    Map<String, Integer> others = new HashMap<>();
    live.forEach(vm -> others.put(vm.region(), Math.max(0, near - 1)));
    targets.updatePeerCounts(others);
    quotas.updateLiveVms(live.stream().map(ColdTargetLimiter.EntryVmLocation::name).toList());
  }

  /** Forgets a start of a target that is gone: its connections and its counts. */
  public void forgetTarget(TargetIncarnation target) {
    connectionPool.closeIdle(target);
    coldAllowance.removeTarget(target.id());
  }

  /**
   * Takes what a target says of itself. Where it has started again, connections to its former start
   * are closed and requests in flight there end; the count of what it got while cold goes on, since
   * a bound that is kept too strictly for a second harms nobody.
   */
  public TargetTable.Change updateTarget(TargetFacts facts) {
    Optional<TargetIncarnation> former =
        targets.find(facts.id()).map(known -> known.facts().incarnation());
    TargetTable.Change change = targets.put(facts, loop.nowMillis());
    if (change == TargetTable.Change.STARTED_AGAIN) {
      connectionPool.closeIdle(former.orElseThrow());
      List.copyOf(attempts).forEach(attempt -> attempt.onTargetRestarted(facts.incarnation()));
    }
    return change;
  }

  /**
   * Lifts the bound on shifts for a while: zones were emptied or targets went, so that regions have
   * other room than before.
   */
  public void onCapacityChange() {
    shiftBound.suspendUntil(loop.nowMillis() + SHIFT_BOUND_LIFTED_MILLIS);
  }

  /** Takes a target's crash that another entry VM has told. */
  public void onCrashReport(CrashReport report) {
    crashDetector.onCrashReport(report);
  }

  /** Calls {@code teller} with the crashes that other entry VMs are to know of. */
  public void publishCrashesTo(Consumer<CrashReport> teller) {
    crashDetector.publishTo(teller);
  }

  /** Requests that have no whole answer yet. */
  public int inFlightCount() {
    return inFlightCount;
  }

  /**
   * From now on each answer closes its connection, so that callers look up again, and a request
   * that would hardly end within {@code millis} is refused.
   */
  public void beginShutdown(long graceMillis) {
    isStopping = true;
    stopDeadlineMillis = loop.nowMillis() + graceMillis;
  }

  /**
   * True where a request expected to take {@code millis} can be taken. A stop cuts off what still
   * waits at a target when its time is over; a run takes up to twice as long as expected.
   */
  boolean canFinishBeforeStop(double estimatedMillis) {
    return !isStopping
        || loop.nowMillis() + RUN_TIME_SAFETY_FACTOR * estimatedMillis < stopDeadlineMillis;
  }

  /** Takes no new connections and closes those without a request. */
  public void stopListening() {
    Channel open = serverChannel;
    if (open != null) {
      Sockets.close(open);
    }
    List.copyOf(callerConnections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Withdraws all requests in flight: the process ends, and its kernel would go on sending them.
   */
  public void abandonAll() {
    List.copyOf(attempts).forEach(Attempt::abandon);
  }

  private void sweep() {
    long now = loop.nowMillis();
    CallerLimits limits = callerLimits();
    List.copyOf(callerConnections).forEach(connection -> connection.sweep(now, limits));
    targets.removeDue(now).forEach(this::onTargetRemoved);
    connectionPool.sweep();
  }

  private void onTargetRemoved(TargetIncarnation target) {
    forgetTarget(target);
    log.record(
        EventKind.TARGET_GIVEN_UP,
        "",
        "",
        target.id(),
        target.startedAtMillis(),
        "not in the platform's list any more");
  }

  void onCallerClosed(CallerConnection connection) {
    callerConnections.remove(connection);
  }

  void requestStarted() {
    inFlightCount++;
  }

  void requestEnded() {
    inFlightCount--;
  }

  CallerLimits callerLimits() {
    RoutingRules known = rules;
    return known == null ? CallerLimits.standard() : known.limits();
  }

  String nextService(RouteRule route) {
    return serviceRotations
        .computeIfAbsent(route.name(), name -> SmoothWeightedRoundRobin.create())
        .next(route.services());
  }

  void logCallerFailure(String what, String detail) {
    log.record(EventKind.FAILED, "", "", "caller", 0, what + ": " + detail);
  }

  boolean isStopping() {
    return isStopping;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  Loop loop() {
    return loop;
  }

  Dialect dialect() {
    return dialect;
  }

  RequestLog requestLog() {
    return requestLog;
  }

  /** Counters and times of this entry VM. */
  public Metrics metrics() {
    return metrics;
  }

  Placement placement() {
    return placement;
  }

  ServiceRetryBudget retryAllowance() {
    return retryAllowance;
  }

  RoundTripTimes distances() {
    return distances;
  }

  /** Attempts whose end is not known yet. */
  Set<Attempt> attempts() {
    return attempts;
  }

  TargetConnectionPool connectionPool() {
    return connectionPool;
  }

  /** A number from 0 to 1 that spreads what would else happen at once. */
  double randomFraction() {
    return random.nextDouble();
  }
}
