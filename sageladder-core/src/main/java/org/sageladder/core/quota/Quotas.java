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
 * The quotas of all workspaces, as one entry VM keeps them together with the others.
 *
 * <p>Each workspace has a coordinator among the live VMs, by rendezvous hashing; this class is both
 * the VM that reports and the coordinator for some. Where the coordinator does not answer the next
 * in order is asked; where none does, the VM goes on alone.
 *
 * <pre>{@code
 * Quotas quotas = Quotas.of("e-1", bounds, contactMillis, peers, now);
 * QuotaDecision decision = quotas.admit(workspace, now, later -> ...);
 * }</pre>
 *
 * <p>A contract without quotas sends no message. Not safe for use by several threads.
 */
public final class Quotas {
  /** How often open reports, waiting requests and idle tokens are looked at. */
  public static final long TICK_MILLIS = 100;

  /** A path to another region and back, and a VM that is busy for a moment. */
  private static final long ANSWER_TIMEOUT_MILLIS = 250;

  /** Reports without an answer before another coordinator is asked: datagrams may be lost. */
  private static final int MAX_REPORT_ATTEMPTS = 3;

  /** VMs that are asked one after the other before a VM goes on alone. */
  private static final int MAX_COORDINATORS = 3;

  /** A coordinator that did not answer is asked again after this time. */
  private static final long COORDINATOR_RETRY_MILLIS = 3_000;

  /** Notices are repeated, since a datagram may be lost and VMs may start. */
  private static final long NOTICE_INTERVAL_MILLIS = 1_000;

  /** The first notice is repeated after this time. */
  private static final long FIRST_NOTICE_REPEAT_MILLIS = 200;

  /** What the table needs of its surroundings. */
  public interface Peers {
    /** Sends a message to the VM of that name; it may be lost. */
    void send(String vm, QuotaMessage message);

    /** Calls {@link Quotas#tick} after {@link #TICK_MILLIS}. */
    void scheduleTick();

    /** No VM is reached, and nothing is looked at later. */
    static Peers none() {
      return new Peers() {
        @Override
        public void send(String vm, QuotaMessage message) {}

        @Override
        public void scheduleTick() {}
      };
    }
  }

  private static final class MeteredWorkspace {
    final Workspace workspace;
    final WorkspaceMeter meter;
    List<String> coordinatorOrder = List.of();
    int coordinatorIndex;
    int failedAttempts;
    long retryFirstCoordinatorMillis;

    MeteredWorkspace(Workspace workspace, WorkspaceMeter meter) {
      this.workspace = workspace;
      this.meter = meter;
    }
  }

  private static final class CoordinatedWorkspace {
    final QuotaCoordinator coordinator;
    long nextNoticeMillis = Long.MIN_VALUE;
    boolean noticeSent;

    CoordinatedWorkspace(QuotaCoordinator coordinator) {
      this.coordinator = coordinator;
    }
  }

  private final String self;
  private final long discoveryMillis;
  private Peers peers;
  private final long startedMillis;
  private final Map<String, MeteredWorkspace> metered = new HashMap<>();
  private final Map<String, CoordinatedWorkspace> coordinated = new LinkedHashMap<>();
  private final Set<MeteredWorkspace> active = new LinkedHashSet<>();
  private Map<String, Workspace> workspaces = Map.of();
  private List<String> liveVms;
  private QuotaTolerance tolerance;
  private boolean tickScheduled;
  private boolean hasBeenAnswered;
  private long countedSinceMillis;

  private Quotas(String self, QuotaTolerance bounds, long contactMillis, Peers peers, long now) {
    this.self = self;
    this.tolerance = bounds;
    this.discoveryMillis = contactMillis;
    this.peers = peers;
    this.startedMillis = now;
    this.countedSinceMillis = now;
    this.liveVms = List.of(self);
  }

  /**
   * Quotas of a VM that has just started.
   *
   * @param self its name
   * @param contactMillis time in which a VM that has started is known to all others
   */
  public static Quotas of(
      String self, QuotaTolerance bounds, long contactMillis, Peers peers, long now) {
    return new Quotas(self, bounds, contactMillis, peers, now);
  }

  /** Keeps the quotas together with these VMs from now on. */
  public void connectPeers(Peers others) {
    peers = others;
    tickScheduled = false;
    scheduleTick();
  }

  /** The whole system starts for the first time: nothing has run before. */
  public void assumeNoPriorUse() {
    countedSinceMillis = startedMillis - tolerance.windowMillis();
  }

  /** Puts newer bounds in force for workspaces that are counted from now on. */
  public void updateTolerance(QuotaTolerance newer) {
    tolerance = newer;
  }

  /** Follows the list of live VMs. */
  public void updateLiveVms(Collection<String> names) {
    liveVms = List.copyOf(names);
    metered.values().forEach(known -> known.coordinatorOrder = List.of());
  }

  /** Puts the workspaces of newer rules in force; what they have used counts on. */
  public void updateWorkspaces(Map<String, Workspace> newer) {
    workspaces = newer;
    metered.keySet().removeIf(name -> !newer.containsKey(name));
    active.removeIf(known -> !newer.containsKey(known.workspace.name()));
    coordinated.keySet().removeIf(name -> !newer.containsKey(name));
    coordinated.forEach((name, known) -> known.coordinator.updateQuota(quota(name)));
  }

  private Quota quota(String workspace) {
    Workspace known = workspaces.get(workspace);
    return known == null ? Quota.unlimited() : known.quota();
  }

  /**
   * Decides whether a request may run. It counts from the decision on; see {@link
   * #cancelAdmission}.
   *
   * @param later called with the decision where it is {@link QuotaDecision.Pending} at first
   */
  public QuotaDecision admit(Workspace workspace, long now, Consumer<QuotaDecision> later) {
    Quota quota = quota(workspace.name());
    if (!quota.isLimited()) {
      return new QuotaDecision.Granted();
    }
    MeteredWorkspace known = meteredWorkspace(workspace);
    QuotaDecision decision = known.meter.admit(quota, now);
    if (decision instanceof QuotaDecision.Pending) {
      known.meter.enqueue(later, now);
    }
    reportIfDue(known, now);
    trackIfActive(known, now);
    return decision;
  }

  /** A request that was admitted is sent once more, having maybe run before. */
  public void recordResend(Workspace workspace, long now) {
    adjustCount(workspace, 1, now);
  }

  /** A request that was admitted has not run and will not. */
  public void cancelAdmission(Workspace workspace, long now) {
    adjustCount(workspace, -1, now);
  }

  private void adjustCount(Workspace workspace, int requests, long now) {
    if (quota(workspace.name()).isLimited()) {
      MeteredWorkspace known = meteredWorkspace(workspace);
      known.meter.adjustCount(requests, now);
      trackIfActive(known, now);
    }
  }

  private MeteredWorkspace meteredWorkspace(Workspace workspace) {
    return metered.computeIfAbsent(
        workspace.name(),
        name -> new MeteredWorkspace(workspace, new WorkspaceMeter(name, tolerance)));
  }

  private void trackIfActive(MeteredWorkspace known, long now) {
    if (known.meter.isActive(now)) {
      active.add(known);
    }
    scheduleTick();
  }

  private void scheduleTick() {
    if (!tickScheduled && (!active.isEmpty() || !coordinated.isEmpty())) {
      tickScheduled = true;
      peers.scheduleTick();
    }
  }

  /** Looks at what is open: sends reports that are due, goes to other coordinators, notices. */
  public void tick(long now) {
    tickScheduled = false;
    for (MeteredWorkspace known : new ArrayList<>(active)) {
      checkReport(known, now);
    }
    active.removeIf(known -> !known.meter.isActive(now));
    for (Map.Entry<String, CoordinatedWorkspace> known : coordinated.entrySet()) {
      known.getValue().coordinator.removeStale(now);
      sendNotice(known.getKey(), known.getValue(), now);
    }
    coordinated.values().removeIf(known -> known.coordinator.isIdle());
    scheduleTick();
  }

  private void checkReport(MeteredWorkspace known, long now) {
    long since = known.meter.awaitingAnswerSince();
    if (since >= 0 && now - since >= ANSWER_TIMEOUT_MILLIS) {
      known.meter.onReportTimeout(now);
      known.failedAttempts++;
      if (known.failedAttempts >= MAX_REPORT_ATTEMPTS) {
        known.failedAttempts = 0;
        tryNextCoordinator(known, now);
      }
    }
    known.meter.decideOverdue(now);
    reportIfDue(known, now);
  }

  /** Goes to the next coordinator in order; behind the last one, on without any for a while. */
  private void tryNextCoordinator(MeteredWorkspace known, long now) {
    int last = coordinatorOrder(known).size() - 1;
    known.retryFirstCoordinatorMillis = now + COORDINATOR_RETRY_MILLIS;
    if (known.coordinatorIndex < last) {
      known.coordinatorIndex++;
      return;
    }
    known.coordinatorIndex = 0;
    // The others do not know a VM that has just started, and pass its reports over.
    if (hasBeenAnswered || now - startedMillis >= discoveryMillis) {
      known.meter.enterIsolation(quota(known.workspace.name()), now);
    }
  }

  private List<String> coordinatorOrder(MeteredWorkspace known) {
    if (known.coordinatorOrder.isEmpty()) {
      List<String> all = Rendezvous.rank(known.workspace.name(), liveVms);
      known.coordinatorOrder = List.copyOf(all.subList(0, Math.min(MAX_COORDINATORS, all.size())));
    }
    return known.coordinatorOrder;
  }

  private void reportIfDue(MeteredWorkspace known, long now) {
    if (!known.meter.isReportDue(now)) {
      return;
    }
    if (known.coordinatorIndex > 0 && now >= known.retryFirstCoordinatorMillis) {
      known.coordinatorIndex = 0;
    }
    List<String> order = coordinatorOrder(known);
    String coordinator = order.get(Math.min(known.coordinatorIndex, order.size() - 1));
    UsageReport report = known.meter.createReport(now);
    if (coordinator.equals(self)) {
      TokenGrant answer = answerReport(self, report, now);
      if (answer != null) {
        applyGrant(known, answer, now);
      }
      return;
    }
    peers.send(coordinator, report);
  }

  /** Takes a message of the VM of that name. */
  public void onMessage(String from, QuotaMessage message, long now) {
    if (message instanceof UsageReport report) {
      TokenGrant answer = answerReport(from, report, now);
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
        MeteredWorkspace known = meteredWorkspace(workspace);
        applyGrant(known, grant, now);
        trackIfActive(known, now);
      }
    }
  }

  private static void applyGrant(MeteredWorkspace known, TokenGrant grant, long now) {
    if (grant.reportNumber() != TokenGrant.NOTICE) {
      known.failedAttempts = 0;
    }
    known.meter.applyGrant(grant, known.coordinatorIndex == 0, now);
  }

  /** Answers a report; null where the workspace is not known here, or has no quota any more. */
  private @Nullable TokenGrant answerReport(String from, UsageReport report, long now) {
    Quota quota = quota(report.workspace());
    if (!quota.isLimited()) {
      return null;
    }
    CoordinatedWorkspace known =
        coordinated.computeIfAbsent(
            report.workspace(),
            name ->
                new CoordinatedWorkspace(
                    new QuotaCoordinator(tolerance, quota, countedSinceMillis)));
    TokenGrant answer = known.coordinator.answerReport(from, report, now);
    sendNotice(report.workspace(), known, now);
    return answer;
  }

  private void sendNotice(String workspace, CoordinatedWorkspace known, long now) {
    if (!known.coordinator.requiresTokens()) {
      known.noticeSent = false;
      known.nextNoticeMillis = Long.MIN_VALUE;
      return;
    }
    if (tolerance.isExact() || now < known.nextNoticeMillis) {
      return;
    }
    known.nextNoticeMillis =
        now + (known.noticeSent ? NOTICE_INTERVAL_MILLIS : FIRST_NOTICE_REPEAT_MILLIS);
    known.noticeSent = true;
    TokenGrant notice = new TokenGrant(workspace, TokenGrant.NOTICE, true, 0, 0);
    for (String vm : liveVms) {
      if (!vm.equals(self)) {
        peers.send(vm, notice);
      }
    }
    Workspace own = workspaces.get(workspace);
    if (own != null) {
      applyGrant(meteredWorkspace(own), notice, now);
    }
  }
}
