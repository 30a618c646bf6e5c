package org.sageladder.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.observation.ZoneObservations;
import org.sageladder.core.placing.ColdTargetLimiter;
import org.sageladder.core.placing.EntryVmRanking;
import org.sageladder.core.placing.Placement;
import org.sageladder.core.placing.PlacementWeights;
import org.sageladder.core.placing.RegionShiftLimiter;
import org.sageladder.core.placing.RoundTripTimes;
import org.sageladder.core.placing.RunTimes;
import org.sageladder.core.placing.ServiceRetryBudget;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetRateLimiter;
import org.sageladder.core.placing.TargetReachability;
import org.sageladder.core.placing.TargetSignals;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.QuarantineNotice;
import org.sageladder.core.quarantine.RunSuccess;
import org.sageladder.core.quota.QuotaTolerance;
import org.sageladder.core.quota.Quotas;
import org.sageladder.core.routing.CallerLimits;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.SmoothWeightedRoundRobin;

/**
 * Accepts callers' requests on one port, forwards each to a target and returns its response.
 *
 * <p>All methods must be called on the event loop's thread.
 */
public final class Forwarder {
  /** Interval of the check for slow request heads and idle connections. */
  private static final long SWEEP_INTERVAL_MILLIS = 250;

  /**
   * How long the limit on shifts between regions stays suspended; work moves to free capacity
   * within a few requests' run time.
   */
  private static final long SHIFT_LIMIT_SUSPENSION_MILLIS = 4_000;

  private final String region;
  private final Loop loop;
  private final Dialect dialect;
  private final EventSink log;
  private final Metrics metrics;
  private final RequestLog requestLog;
  private final LoopDelay loopDelay;
  private final TargetTable targets = TargetTable.create();
  private final ZoneObservations observations;
  private final RoundTripTimes roundTripTimes;
  private final EntryVmRanking entryVms;
  private final ColdTargetLimiter coldLimiter;
  private final TargetSignalHandler targetSignals;
  private final ServiceRetryBudget retryBudget;
  private final RegionShiftLimiter shiftLimiter;
  private final RunTimes runTimes;
  private final Placement placement;
  private final TargetConnectionPool<TargetIncarnation> connectionPool;
  private final ResponseMemory responseMemory = new ResponseMemory();
  private final HeldMemory heldMemory;
  private final RelayPeers relayPeers;
  private final TargetConnectionPool<RelayPeer> peerConnections;
  private final CrashDetector crashDetector;
  private final Map<String, SmoothWeightedRoundRobin> serviceRotations = new HashMap<>();
  private final CallerConnections callerConnections =
      new CallerConnections(e -> logCallerFailure("caller connection failed", e.toString()));
  private final Set<Attempt> attempts = new LinkedHashSet<>();
  private final Random random;
  private final TargetReachability reachability = TargetReachability.create();
  private final TargetProber prober;
  private @Nullable RoutingRules rules;
  private @Nullable Channel serverChannel;
  private @Nullable Channel peerServerChannel;
  private final Quotas quotas;
  private BooleanSupplier staleRulesCheck = () -> false;
  private final Shutdown shutdown;
  private int inFlightCount;

  /**
   * Identity of this entry VM and the limits that apply to it.
   *
   * @param name name of this entry VM
   * @param zoneFraction fraction of all zones that are in this region
   * @param coldRateFactor factor by which all entry VMs together may exceed a cold target's rate
   * @param coldSlackPerSecond requests per second allowed in addition to that
   * @param retryRatio retries allowed per request, for all entry VMs together
   * @param extraRetriesPerWindow retries allowed per window in addition to that
   * @param retryWindowMillis length of that window
   * @param minEntryVms number of entry VMs that there are at least, whether they are known or not
   * @param maxShiftFraction fraction of a region's requests that may move to another region within
   *     two seconds
   * @param quotaTolerance how exactly workspace quotas are enforced
   * @param discoveryMillis time until all other VMs know of a VM that has started
   * @param isFirstStart true if the whole system starts for the first time
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
      int minEntryVms,
      double maxShiftFraction,
      QuotaTolerance quotaTolerance,
      long discoveryMillis,
      boolean isFirstStart) {}

  private Forwarder(Loop loop, Dialect dialect, Options options, EventSink log, Metrics metrics) {
    this.region = options.region();
    this.loop = loop;
    this.shutdown = new Shutdown(loop);
    this.heldMemory = HeldMemory.ofHeap(loop::execute);
    this.dialect = dialect;
    this.log = log;
    this.metrics = metrics;
    this.requestLog = new RequestLog(log, metrics);
    this.loopDelay = new LoopDelay(log, metrics, SWEEP_INTERVAL_MILLIS, loop.nowMillis());
    this.observations =
        ZoneObservations.of(options.name(), targets, loop.nowMillis(), loop.wallMillis());
    this.roundTripTimes = RoundTripTimes.from(options.zone(), options.region());
    this.entryVms = EntryVmRanking.of(options.name());
    this.coldLimiter =
        ColdTargetLimiter.of(entryVms, options.coldRateFactor(), options.coldSlackPerSecond());
    this.random = new Random(options.name().hashCode());
    TargetRateLimiter targetLimiter = TargetRateLimiter.of(entryVms, random::nextDouble);
    this.targetSignals =
        new TargetSignalHandler(
            targets, targetLimiter, random::nextDouble, this::onCapacityChange, log, metrics);
    this.retryBudget =
        ServiceRetryBudget.of(
            options.retryRatio(),
            options.extraRetriesPerWindow(),
            options.retryWindowMillis(),
            options.minEntryVms());
    this.shiftLimiter = RegionShiftLimiter.of(options.maxShiftFraction());
    this.runTimes = RunTimes.create(shiftLimiter::settleMillis);
    this.placement =
        Placement.among(
            targets,
            roundTripTimes,
            runTimes,
            coldLimiter,
            targetLimiter,
            shiftLimiter,
            PlacementWeights.standard());
    placement.updateZoneShare(options.zoneFraction());
    placement.admission().onStateChange(requestLog::recordOverload);
    this.relayPeers = new RelayPeers(options.zone(), options.region());
    this.peerConnections =
        new TargetConnectionPool<>(
            loop,
            dialect,
            (peer, discarded) -> requestLog.recordDiscarded(peer.name(), 0, discarded));
    this.connectionPool =
        new TargetConnectionPool<>(
            loop,
            dialect,
            (target, discarded) ->
                requestLog.recordDiscarded(target.id(), target.startedAtMillis(), discarded));
    this.crashDetector =
        new CrashDetector(
            loop,
            log,
            metrics,
            random::nextDouble,
            target -> reachability.isLost(target.service()));
    this.prober =
        new TargetProber(loop, targets, reachability, random::nextDouble, this::onReached);
    this.quotas =
        Quotas.of(
            options.name(),
            options.quotaTolerance(),
            options.discoveryMillis(),
            Quotas.Peers.none(),
            loop.nowMillis());
    if (options.isFirstStart()) {
      quotas.assumeNoPriorUse();
    }
  }

  /** Creates a forwarder without rules and targets that does not listen yet. */
  public static Forwarder create(
      Loop loop, Dialect dialect, Options options, EventSink log, Metrics metrics) {
    Forwarder forwarder = new Forwarder(loop, dialect, options, log, metrics);
    loop.scheduleAtFixedRate(SWEEP_INTERVAL_MILLIS, forwarder::sweep);
    return forwarder;
  }

  /**
   * Opens the port at which other entry VMs have requests of their callers served.
   *
   * @param opened receives the port
   */
  public void listenForPeers(
      String host, int port, IntConsumer opened, Consumer<Throwable> failed) {
    loop.listen(host, port, connectionInitializer(true))
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                failed.accept(done.cause());
                return;
              }
              peerServerChannel = done.channel();
              opened.accept(portOf(done.channel()));
            });
  }

  private static int portOf(Channel channel) {
    return channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
  }

  private ChannelInitializer<Channel> connectionInitializer(boolean isPeer) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        CallerConnection connection = new CallerConnection(Forwarder.this, isPeer);
        if (!callerConnections.add(connection, loop.nowMillis())) {
          // Nothing was read, so that callers can use another VM at once.
          metrics.count("connections_refused");
          connection.refuse(channel);
          return;
        }
        connection.install(channel.pipeline());
      }
    };
  }

  /** Limits the open connections of callers and other entry VMs; by default, there is no limit. */
  public void limitConnections(int maxConnections) {
    callerConnections.limit(maxConnections);
  }

  /** Updates the list of the other entry VMs that may serve requests for this one. */
  public void updateRelayPeers(Collection<RelayPeer> others) {
    relayPeers.update(others);
  }

  /** Records that another entry VM has written its registration. */
  public void onEntryVmRegistered(String name) {
    relayPeers.recordRegistered(name);
  }

  /** Opens the callers' port. */
  public void listen(String host, int port, Runnable opened, Consumer<Throwable> failed) {
    loop.listen(host, port, connectionInitializer(false))
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

  /** The open port, or empty. */
  public Optional<Integer> port() {
    Channel openChannel = serverChannel;
    return openChannel == null ? Optional.empty() : Optional.of(portOf(openChannel));
  }

  /**
   * Applies rules that are newer than those in force.
   *
   * @return false if {@code newRules} are not newer and were ignored
   */
  public boolean applyRules(RoutingRules newRules) {
    RoutingRules current = rules;
    if (current != null && newRules.version() <= current.version()) {
      return false;
    }
    rules = newRules;
    Set<String> routes = newRules.routeNames();
    runTimes.retainRoutes(routes);
    serviceRotations.keySet().retainAll(routes);
    quotas.updateWorkspaces(newRules.keys().workspaces());
    return true;
  }

  /** The quotas of workspaces, as this entry VM enforces them. */
  public Quotas quotas() {
    return quotas;
  }

  /** What this entry VM shares of its observations of targets with its zone. */
  public ZoneObservations observations() {
    return observations;
  }

  /**
   * Sets the check whether newer rules than those in force may exist unseen. It is evaluated for
   * each request with an unknown API key.
   */
  public void setStaleRulesCheck(BooleanSupplier check) {
    staleRulesCheck = check;
  }

  /** True if this VM is out of contact with the store, so that its rules may be stale. */
  boolean mayHaveStaleRules() {
    return staleRulesCheck.getAsBoolean();
  }

  /** The rules in force, or null before the first were received. */
  public @Nullable RoutingRules rules() {
    return rules;
  }

  /** The known targets. */
  public TargetTable targets() {
    return targets;
  }

  /** Applies new limits; name, zone and region cannot change after the start. */
  public void updateLimits(Options newOptions) {
    coldLimiter.updateLimits(newOptions.coldRateFactor(), newOptions.coldSlackPerSecond());
    retryBudget.updateLimits(
        newOptions.retryRatio(),
        newOptions.extraRetriesPerWindow(),
        newOptions.retryWindowMillis());
    shiftLimiter.updateLimit(newOptions.maxShiftFraction());
    quotas.updateTolerance(newOptions.quotaTolerance());
  }

  /** Updates the set of live entry VMs; must not be called before it is known. */
  public void updateEntries(List<ColdTargetLimiter.EntryVmLocation> liveEntries) {
    entryVms.update(liveEntries, loop.nowMillis());
    retryBudget.updateEntryVmCount(liveEntries.size(), loop.nowMillis());
    int vmsInRegion = (int) liveEntries.stream().filter(vm -> vm.region().equals(region)).count();
    Map<String, Integer> peersByRegion = new HashMap<>();
    liveEntries.forEach(vm -> peersByRegion.put(vm.region(), Math.max(0, vmsInRegion - 1)));
    targets.updatePeerCounts(peersByRegion);
  }

  /** Drops the idle connections and the counters of an incarnation that has ended. */
  public void forgetTarget(TargetIncarnation target) {
    connectionPool.closeIdle(target);
    coldLimiter.removeTarget(target.id());
  }

  /**
   * Applies a target's registration. If the target has restarted, connections to its previous
   * incarnation are closed and requests in flight there fail. The count of requests sent to it
   * while cold is kept: enforcing that limit too strictly for a second does no harm.
   */
  public TargetTable.Change updateTarget(TargetFacts facts) {
    Optional<TargetIncarnation> previousIncarnation =
        targets.find(facts.id()).map(current -> current.facts().incarnation());
    TargetTable.Change change = targets.put(facts, loop.nowMillis());
    if (change == TargetTable.Change.STARTED_AGAIN) {
      connectionPool.closeIdle(previousIncarnation.orElseThrow());
      targetAttempts().forEach(attempt -> attempt.onTargetRestarted(facts.incarnation()));
    }
    return change;
  }

  /**
   * Suspends the limit on shifts between regions for a while, after a zone was evacuated or targets
   * were removed and the free capacity of the regions has changed.
   */
  public void onCapacityChange() {
    shiftLimiter.suspendUntil(loop.nowMillis() + SHIFT_LIMIT_SUSPENSION_MILLIS);
  }

  /** Handles a crash of a target that another entry VM has reported. */
  public void onCrashReport(CrashReport report) {
    crashDetector.onCrashReport(report);
  }

  /** Handles a run that ended well at another entry VM of a request that crashes count against. */
  public void onRunSuccess(RunSuccess success) {
    crashDetector.onRunSuccess(success);
  }

  /** Passes what other entry VMs need to know of crashes to {@code publisher}. */
  public void publishCrashesTo(Consumer<QuarantineNotice> publisher) {
    crashDetector.publishTo(publisher);
  }

  /** Number of requests without a complete response. */
  public int inFlightCount() {
    return inFlightCount;
  }

  /** Begins the shutdown, with {@code graceMillis} from now for the requests in flight. */
  public void beginShutdown(long graceMillis) {
    beginShutdown(loop.nowMillis(), loop.nowMillis() + graceMillis);
  }

  /**
   * Begins the shutdown, or changes its end: each response closes its connection so that callers
   * look up another VM, and requests that may not end in time are refused.
   *
   * @param signalMillis when the stop signal came
   * @param endMillis when requests must have ended for certain to be sent on
   */
  public void beginShutdown(long signalMillis, long endMillis) {
    shutdown.begin(signalMillis, endMillis);
  }

  /** The longest delay of the event loop in the last seconds, in milliseconds. */
  long recentLoopDelayMillis() {
    return loopDelay.recentMaxMillis();
  }

  /** True if no request is in flight or expected, and callers have read all responses. */
  boolean isIdle() {
    return inFlightCount == 0 && callerConnections.areIdle();
  }

  /** Open connections of callers. */
  CallerConnections callerConnections() {
    return callerConnections;
  }

  /** Closes the ports and all connections without a request. */
  public void stopListening() {
    Channel openChannel = serverChannel;
    if (openChannel != null) {
      Sockets.closeListening(openChannel);
    }
    Channel openPeerChannel = peerServerChannel;
    if (openPeerChannel != null) {
      Sockets.closeListening(openPeerChannel);
    }
    callerConnections.closeIdle();
  }

  /**
   * Abandons all requests in flight: callers get an error response unless they have a part of the
   * target's, targets a reset. Otherwise the kernel would go on sending requests after the process
   * has ended.
   */
  public void abandonAll() {
    callerConnections.abandonRequests();
    List.copyOf(attempts).forEach(Attempt::abandon);
  }

  private void sweep() {
    long now = loop.nowMillis();
    loopDelay.recordRun(now);
    CallerLimits limits = callerLimits();
    callerConnections.sweep(now, limits);
    targets.removeDue(now).forEach(this::onTargetRemoved);
    connectionPool.sweep();
    peerConnections.sweep();
  }

  private void onTargetRemoved(TargetIncarnation target) {
    forgetTarget(target);
    log.record(
        EventKind.TARGET_GIVEN_UP,
        "",
        "",
        target.id(),
        target.startedAtMillis(),
        "removed from the platform's list of targets");
  }

  /**
   * Treats a target as cold until an answer or its registration shows whether it has restarted.
   *
   * @param aliveAt when the target was last seen alive on the connection that was lost
   */
  void onContactLost(TargetState target, long aliveAt, String cause) {
    RoutingRules current = rules;
    long coldMillis =
        current == null
            ? 0
            : current.service(target.facts().service()).map(ServiceRule::coldMillis).orElse(0L);
    if (target.recordContactLost(aliveAt, loop.nowMillis(), coldMillis)) {
      metrics.count("target_contacts_lost");
      logTarget(
          EventKind.TARGET_UNCONFIRMED,
          target.facts(),
          "may have restarted, treated as cold: " + cause);
    }
  }

  /** Records that a target accepted no connection. */
  void onUnreached(TargetFacts target) {
    if (!reachability.recordUnreached(target, targets, loop.nowMillis())) {
      return;
    }
    metrics.count("targets_lost");
    logTarget(EventKind.TARGETS_LOST, target, describeLoss());
    prober.start();
    targetAttempts().stream()
        .filter(attempt -> reachability.isLost(attempt.target().facts().service()))
        .forEach(TargetAttempt::onTargetsLost);
  }

  private String describeLoss() {
    return reachability.areAllLost()
        ? "no target accepts connections"
        : "no target of the service accepts connections";
  }

  /** Records that a target accepted a connection or answered. */
  void onReached(TargetFacts target) {
    if (reachability.recordReached(target, loop.nowMillis())) {
      logTarget(EventKind.TARGETS_REGAINED, target, "a target accepts connections");
    }
  }

  /** True if this VM reaches no target at all, as far as it knows. */
  public boolean areTargetsLost() {
    return reachability.areAllLost();
  }

  /**
   * Records an answer of a target.
   *
   * @param openedAt when its connection was opened
   * @param sentAt when the request was sent
   */
  void onContact(TargetState target, long openedAt, long sentAt) {
    if (target.recordContact(openedAt, sentAt, loop.nowMillis())) {
      metrics.count("target_contacts_confirmed");
      logTarget(EventKind.TARGET_CONFIRMED, target.facts(), "has not restarted");
    }
  }

  /** Applies what a target states about itself in an answer to this VM. */
  void onTargetSignals(TargetFacts target, TargetSignals stated) {
    targetSignals.apply(target, stated, loop.nowMillis());
  }

  private void logTarget(EventKind kind, TargetFacts target, String detail) {
    log.record(
        kind, "", target.service(), target.id(), target.incarnation().startedAtMillis(), detail);
  }

  void requestStarted() {
    inFlightCount++;
  }

  void requestEnded() {
    inFlightCount--;
  }

  CallerLimits callerLimits() {
    RoutingRules current = rules;
    return current == null ? CallerLimits.standard() : current.limits();
  }

  String nextService(RouteRule route) {
    return serviceRotations
        .computeIfAbsent(route.name(), name -> SmoothWeightedRoundRobin.create())
        .next(route.services());
  }

  void logCallerFailure(String what, String detail) {
    log.record(EventKind.FAILED, "", "", "caller", 0, what + ": " + detail);
  }

  Shutdown shutdown() {
    return shutdown;
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

  /** Counters and latencies of this entry VM. */
  public Metrics metrics() {
    return metrics;
  }

  Placement placement() {
    return placement;
  }

  ServiceRetryBudget retryBudget() {
    return retryBudget;
  }

  RoundTripTimes roundTripTimes() {
    return roundTripTimes;
  }

  private List<TargetAttempt> targetAttempts() {
    return attempts.stream()
        .filter(TargetAttempt.class::isInstance)
        .map(TargetAttempt.class::cast)
        .toList();
  }

  /** Attempts without an outcome. */
  Set<Attempt> attempts() {
    return attempts;
  }

  TargetConnectionPool<TargetIncarnation> connectionPool() {
    return connectionPool;
  }

  /** Connections to other entry VMs. */
  TargetConnectionPool<RelayPeer> peerConnections() {
    return peerConnections;
  }

  /** Bytes of responses that are held in memory for callers now. */
  public long bufferedResponseBytes() {
    return responseMemory.bytes();
  }

  /** Memory that callers and other clients hold. */
  public HeldMemory heldMemory() {
    return heldMemory;
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  RelayPeers relayPeers() {
    return relayPeers;
  }

  TargetReachability reachability() {
    return reachability;
  }

  /** A random number between 0 and 1, used as jitter. */
  double randomFraction() {
    return random.nextDouble();
  }
}
