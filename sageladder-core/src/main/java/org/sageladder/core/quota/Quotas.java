package org.sageladder.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;

/**
 * Enforces the quotas of all workspaces in one entry VM, together with the other entry VMs.
 *
 * <p>Each workspace has a coordinator among the live VMs, chosen by rendezvous hashing. This class
 * implements both roles: the VM that reports its use and the coordinator of some workspaces. If the
 * coordinator does not answer, the VM reports to the next in order. If none answers, the VM is
 * isolated and decides alone.
 *
 * <pre>{@code
 * Quotas quotas = Quotas.of("e-1", tolerance, discoveryMillis, peers, nowMillis);
 * QuotaDecision decision = quotas.admit(workspace, nowMillis, later -> ...);
 * }</pre>
 *
 * <p>Sends no messages for a contract without quotas. Not thread-safe.
 */
public final class Quotas {
  /** Interval at which unanswered reports, waiting requests and unused tokens are checked. */
  public static final long TICK_MILLIS = 100;

  /** Allows for a cross-region round trip and a VM that is briefly busy. */
  private static final long ANSWER_TIMEOUT_MILLIS = 250;

  /**
   * Unanswered reports before another coordinator is tried; more than one, since datagrams may be
   * lost.
   */
  private static final int MAX_REPORT_ATTEMPTS = 3;

  /** VMs that are tried as coordinator, one after the other, before a VM is isolated. */
  private static final int MAX_COORDINATORS = 3;

  /** Time after which a coordinator that did not answer is tried again. */
  private static final long COORDINATOR_RETRY_MILLIS = 3_000;

  /** Interval of the notices, which are repeated since datagrams may be lost and VMs may start. */
  private static final long NOTICE_INTERVAL_MILLIS = 1_000;

  /** Time after a change of the first coordinator until all VMs have reported to it. */
  private static final long COORDINATOR_CHANGE_MILLIS = 3_000;

  /** Time after which the first notice is repeated. */
  private static final long FIRST_NOTICE_REPEAT_MILLIS = 200;

  /** Connection to the other entry VMs, and the timer. */
  public interface Peers {
    /** Sends a message to the VM of that name; it may be lost. */
    void send(String vm, QuotaMessage message);

    /** Calls {@link Quotas#tick} after {@link #TICK_MILLIS}. */
    void scheduleTick();

    /** Records a change for logs and metrics. */
    default void onChange(String workspace, QuotaChange change) {}

    /** Peers of a VM without connections: nothing is sent and no tick is scheduled. */
    static Peers none() {
      return new Peers() {
        @Override
        public void send(String vm, QuotaMessage message) {}

        @Override
        public void scheduleTick() {}
      };
    }
  }

  private final String self;
  private final long discoveryMillis;
  private Peers peers;
  private final long startedMillis;
  private final Map<String, LimitedWorkspace> limited = new HashMap<>();
  private final Map<String, CoordinatedWorkspace> coordinated = new LinkedHashMap<>();
  private final Set<LimitedWorkspace> active = new LinkedHashSet<>();
  private Map<String, Workspace> workspaces = Map.of();
  private List<String> liveVms;
  private QuotaTolerance tolerance;
  private boolean tickScheduled;
  private boolean hasBeenAnswered;
  private long countedSinceMillis;

  private Quotas(
      String self, QuotaTolerance tolerance, long discoveryMillis, Peers peers, long nowMillis) {
    this.self = self;
    this.tolerance = tolerance;
    this.discoveryMillis = discoveryMillis;
    this.peers = peers;
    this.startedMillis = nowMillis;
    this.countedSinceMillis = nowMillis;
    this.liveVms = List.of(self);
  }

  /**
   * Creates the quotas of a VM that has just started.
   *
   * @param self name of the VM
   * @param discoveryMillis time until all other VMs know of a VM that has started
   */
  public static Quotas of(
      String self, QuotaTolerance tolerance, long discoveryMillis, Peers peers, long nowMillis) {
    return new Quotas(self, tolerance, discoveryMillis, peers, nowMillis);
  }

  /** Enforces the quotas together with the VMs reached through {@code newPeers} from now on. */
  public void connectPeers(Peers newPeers) {
    peers = newPeers;
    tickScheduled = false;
    scheduleTick();
  }

  /** Records that the whole system starts for the first time, so no request ran before. */
  public void assumeNoPriorUse() {
    countedSinceMillis = startedMillis - tolerance.windowMillis();
  }

  /** Puts a new tolerance in force for the workspaces that are counted from now on. */
  public void updateTolerance(QuotaTolerance newTolerance) {
    tolerance = newTolerance;
  }

  /** Updates the list of live VMs. */
  public void updateLiveVms(Collection<String> names) {
    liveVms = List.copyOf(names);
    limited.values().forEach(entry -> entry.coordinatorOrder = List.of());
  }

  /** Puts the workspaces of newer rules in force; their counts are kept. */
  public void updateWorkspaces(Map<String, Workspace> newWorkspaces) {
    workspaces = newWorkspaces;
    limited.keySet().removeIf(name -> !newWorkspaces.containsKey(name));
    active.removeIf(entry -> !newWorkspaces.containsKey(entry.workspace.name()));
    coordinated.keySet().removeIf(name -> !newWorkspaces.containsKey(name));
    coordinated.forEach((name, entry) -> entry.coordinator.updateQuota(quota(name)));
  }

  private Quota quota(String workspace) {
    Workspace found = workspaces.get(workspace);
    return found == null ? Quota.unlimited() : found.quota();
  }

  /**
   * Decides whether a request may run. An admitted request counts from the decision on; see {@link
   * #cancelAdmission}.
   *
   * @param onDecision called with the decision if the result is {@link QuotaDecision.Pending}
   */
  public QuotaDecision admit(
      Workspace workspace, long nowMillis, Consumer<QuotaDecision> onDecision) {
    Quota quota = quota(workspace.name());
    if (!quota.isLimited()) {
      return new QuotaDecision.Granted();
    }
    LimitedWorkspace entry = limitedWorkspace(workspace);
    entry.limiter.updateUnreportedLimits(
        tolerance.maxUnreportedPerVm(quota, liveVms.size()),
        tolerance.unreportedShare(quota, liveVms.size()));
    QuotaDecision decision = entry.limiter.admit(quota, nowMillis);
    if (decision instanceof QuotaDecision.Pending) {
      entry.limiter.enqueue(onDecision, nowMillis);
    }
    reportIfDue(entry, nowMillis);
    trackIfActive(entry, nowMillis);
    return decision;
  }

  /** Counts an admitted request that is sent again and may have run before. */
  public void recordResend(Workspace workspace, long nowMillis) {
    if (quota(workspace.name()).isLimited()) {
      LimitedWorkspace entry = limitedWorkspace(workspace);
      entry.limiter.recordResend(nowMillis);
      trackIfActive(entry, nowMillis);
    }
  }

  /** Takes back the count of an admitted request that has not run and will not run. */
  public void cancelAdmission(Workspace workspace, long nowMillis) {
    if (quota(workspace.name()).isLimited()) {
      LimitedWorkspace entry = limitedWorkspace(workspace);
      entry.limiter.cancelAdmission(nowMillis);
      trackIfActive(entry, nowMillis);
    }
  }

  private LimitedWorkspace limitedWorkspace(Workspace workspace) {
    return limited.computeIfAbsent(
        workspace.name(),
        name -> new LimitedWorkspace(workspace, new WorkspaceRateLimiter(name, tolerance)));
  }

  private void trackIfActive(LimitedWorkspace entry, long nowMillis) {
    if (entry.limiter.isActive(nowMillis)) {
      active.add(entry);
    }
    scheduleTick();
  }

  private void scheduleTick() {
    if (!tickScheduled && (!active.isEmpty() || !coordinated.isEmpty())) {
      tickScheduled = true;
      peers.scheduleTick();
    }
  }

  /** Sends due reports and notices, and tries other coordinators after timeouts. */
  public void tick(long nowMillis) {
    tickScheduled = false;
    for (LimitedWorkspace entry : new ArrayList<>(active)) {
      checkReport(entry, nowMillis);
    }
    active.removeIf(entry -> !entry.limiter.isActive(nowMillis));
    for (Map.Entry<String, CoordinatedWorkspace> entry : coordinated.entrySet()) {
      entry.getValue().coordinator.removeStale(nowMillis);
      sendNotice(entry.getKey(), entry.getValue(), nowMillis);
    }
    coordinated.values().removeIf(entry -> entry.coordinator.isIdle());
    scheduleTick();
  }

  private void checkReport(LimitedWorkspace entry, long nowMillis) {
    long sinceMillis = entry.limiter.awaitingAnswerSince();
    if (sinceMillis >= 0 && nowMillis - sinceMillis >= ANSWER_TIMEOUT_MILLIS) {
      entry.failedAttempts++;
      if (entry.failedAttempts < MAX_REPORT_ATTEMPTS) {
        retransmit(entry, nowMillis);
      } else {
        entry.failedAttempts = 0;
        entry.limiter.abandonReport(nowMillis);
        tryNextCoordinator(entry, nowMillis);
      }
    }
    entry.limiter.decideOverdue(nowMillis);
    reportIfDue(entry, nowMillis);
  }

  /**
   * Moves on to the next coordinator in order; after the last one, isolates the VM and starts over.
   */
  private void tryNextCoordinator(LimitedWorkspace entry, long nowMillis) {
    int last = coordinatorOrder(entry).size() - 1;
    entry.retryFirstCoordinatorMillis = nowMillis + COORDINATOR_RETRY_MILLIS;
    peers.onChange(entry.workspace.name(), QuotaChange.COORDINATOR_UNREACHABLE);
    if (entry.coordinatorIndex < last) {
      entry.coordinatorIndex++;
      return;
    }
    entry.coordinatorIndex = 0;
    // The other VMs ignore the reports of a VM that has just started until they know it.
    if (hasBeenAnswered || nowMillis - startedMillis >= discoveryMillis) {
      entry.limiter.enterIsolation(quota(entry.workspace.name()), nowMillis);
      peers.onChange(entry.workspace.name(), QuotaChange.ISOLATED);
    }
  }

  private List<String> coordinatorOrder(LimitedWorkspace entry) {
    if (entry.coordinatorOrder.isEmpty()) {
      List<String> all = Rendezvous.rank(entry.workspace.name(), liveVms);
      entry.coordinatorOrder = List.copyOf(all.subList(0, Math.min(MAX_COORDINATORS, all.size())));
    }
    return entry.coordinatorOrder;
  }

  private void reportIfDue(LimitedWorkspace entry, long nowMillis) {
    if (!entry.limiter.isReportDue(nowMillis)) {
      return;
    }
    if (entry.coordinatorIndex > 0 && nowMillis >= entry.retryFirstCoordinatorMillis) {
      entry.coordinatorIndex = 0;
    }
    String coordinator = currentCoordinator(entry, nowMillis);
    UsageReport report = entry.limiter.createReport(nowMillis);
    if (coordinator.equals(self)) {
      TokenGrant answer = answerReport(self, report, nowMillis);
      if (answer != null) {
        applyGrant(entry, answer, nowMillis);
      }
      return;
    }
    peers.send(coordinator, report);
  }

  private void retransmit(LimitedWorkspace entry, long nowMillis) {
    UsageReport report = entry.limiter.retransmit(nowMillis);
    if (report != null) {
      peers.send(currentCoordinator(entry, nowMillis), report);
    }
  }

  private String currentCoordinator(LimitedWorkspace entry, long nowMillis) {
    List<String> order = coordinatorOrder(entry);
    if (!order.get(0).equals(entry.firstCoordinator)) {
      entry.firstCoordinator = order.get(0);
      entry.firstCoordinatorSinceMillis = nowMillis;
    }
    String coordinator = order.get(Math.min(entry.coordinatorIndex, order.size() - 1));
    if (!coordinator.equals(entry.lastCoordinator)) {
      if (!entry.lastCoordinator.isEmpty()) {
        entry.limiter.onCoordinatorChange(nowMillis);
      }
      entry.lastCoordinator = coordinator;
    }
    return coordinator;
  }

  /** Processes a message from the VM named {@code from}. */
  public void onMessage(String from, QuotaMessage message, long nowMillis) {
    if (message instanceof UsageReport report) {
      TokenGrant answer = answerReport(from, report, nowMillis);
      if (answer != null) {
        peers.send(from, answer);
      }
      scheduleTick();
      return;
    }
    if (message instanceof TokenGrant grant) {
      Workspace workspace = workspaces.get(grant.workspace());
      if (workspace != null) {
        hasBeenAnswered = true;
        LimitedWorkspace entry = limitedWorkspace(workspace);
        applyGrant(entry, grant, nowMillis);
        trackIfActive(entry, nowMillis);
      }
    }
  }

  private static void applyGrant(LimitedWorkspace entry, TokenGrant grant, long nowMillis) {
    if (grant.reportNumber() != TokenGrant.NOTICE) {
      entry.failedAttempts = 0;
    }
    boolean isSettled =
        entry.coordinatorIndex == 0
            && nowMillis - entry.firstCoordinatorSinceMillis >= COORDINATOR_CHANGE_MILLIS;
    entry.limiter.applyGrant(grant, isSettled, nowMillis);
  }

  /** Answers a report; null if the workspace is unknown here or no longer has a quota. */
  private @Nullable TokenGrant answerReport(String from, UsageReport report, long nowMillis) {
    Quota quota = quota(report.workspace());
    if (!quota.isLimited()) {
      return null;
    }
    CoordinatedWorkspace entry =
        coordinated.computeIfAbsent(
            report.workspace(),
            name ->
                new CoordinatedWorkspace(
                    new QuotaCoordinator(tolerance, quota, countedSinceMillis)));
    entry.coordinator.updateVmCount(liveVms.size());
    boolean requiredTokens = entry.coordinator.requiresTokens();
    TokenGrant answer = entry.coordinator.answerReport(from, report, nowMillis);
    if (answer.tokensRequired() != requiredTokens) {
      peers.onChange(
          report.workspace(),
          requiredTokens ? QuotaChange.TOKENS_NOT_REQUIRED : QuotaChange.TOKENS_REQUIRED);
    }
    sendNotice(report.workspace(), entry, nowMillis);
    return answer;
  }

  private void sendNotice(String workspace, CoordinatedWorkspace entry, long nowMillis) {
    if (!entry.coordinator.requiresTokens()) {
      entry.noticeSent = false;
      entry.nextNoticeMillis = Long.MIN_VALUE;
      return;
    }
    if (tolerance.isExact() || nowMillis < entry.nextNoticeMillis) {
      return;
    }
    entry.nextNoticeMillis =
        nowMillis + (entry.noticeSent ? NOTICE_INTERVAL_MILLIS : FIRST_NOTICE_REPEAT_MILLIS);
    entry.noticeSent = true;
    TokenGrant notice = new TokenGrant(workspace, TokenGrant.NOTICE, true, 0, 0);
    // VMs whose registration has lapsed go on serving and report.
    Set<String> receivers = new LinkedHashSet<>(liveVms);
    receivers.addAll(entry.coordinator.reporterNames());
    receivers.remove(self);
    receivers.forEach(vm -> peers.send(vm, notice));
    Workspace own = workspaces.get(workspace);
    if (own != null) {
      applyGrant(limitedWorkspace(own), notice, nowMillis);
    }
  }
}
