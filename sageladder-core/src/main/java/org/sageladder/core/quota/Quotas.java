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
  private static final long ANSWER_MILLIS = 250;

  /** Reports without an answer before another coordinator is asked: datagrams may be lost. */
  private static final int TRIES = 3;

  /** VMs that are asked one after the other before a VM goes on alone. */
  private static final int COORDINATORS = 3;

  /** A coordinator that did not answer is asked again after this time. */
  private static final long SUSPECT_MILLIS = 3_000;

  /** Notices are repeated, since a datagram may be lost and VMs may start. */
  private static final long NOTICE_MILLIS = 1_000;

  /** The first notice is repeated after this time. */
  private static final long SECOND_NOTICE_MILLIS = 200;

  /** What the table needs of its surroundings. */
  public interface Peers {
    /** Sends a message to the VM of that name; it may be lost. */
    void send(String vm, QuotaMessage message);

    /** Calls {@link Quotas#tick} after {@link #TICK_MILLIS}. */
    void wake();

    /** No VM is reached, and nothing is looked at later. */
    static Peers none() {
      return new Peers() {
        @Override
        public void send(String vm, QuotaMessage message) {}

        @Override
        public void wake() {}
      };
    }
  }

  private static final class Counted {
    final Workspace workspace;
    final WorkspaceMeter meter;
    List<String> order = List.of();
    int rank;
    int tries;
    long rankUntil;

    Counted(Workspace workspace, WorkspaceMeter meter) {
      this.workspace = workspace;
      this.meter = meter;
    }
  }

  private static final class Coordinated {
    final QuotaCoordinator coordinator;
    long nextNoticeAt = Long.MIN_VALUE;
    boolean noticed;

    Coordinated(QuotaCoordinator coordinator) {
      this.coordinator = coordinator;
    }
  }

  private final String self;
  private final long contactMillis;
  private Peers peers;
  private final long startedAt;
  private final Map<String, Counted> counted = new HashMap<>();
  private final Map<String, Coordinated> coordinated = new LinkedHashMap<>();
  private final Set<Counted> active = new LinkedHashSet<>();
  private Map<String, Workspace> workspaces = Map.of();
  private List<String> live;
  private QuotaBounds bounds;
  private boolean awake;
  private boolean everAnswered;
  private long countedSince;

  private Quotas(String self, QuotaBounds bounds, long contactMillis, Peers peers, long now) {
    this.self = self;
    this.bounds = bounds;
    this.contactMillis = contactMillis;
    this.peers = peers;
    this.startedAt = now;
    this.countedSince = now;
    this.live = List.of(self);
  }

  /**
   * Quotas of a VM that has just started.
   *
   * @param self its name
   * @param contactMillis time in which a VM that has started is known to all others
   */
  public static Quotas of(
      String self, QuotaBounds bounds, long contactMillis, Peers peers, long now) {
    return new Quotas(self, bounds, contactMillis, peers, now);
  }

  /** Keeps the quotas together with these VMs from now on. */
  public void exchangeWith(Peers others) {
    peers = others;
    awake = false;
    wake();
  }

  /** The whole system starts for the first time: nothing has run before. */
  public void nothingRanBefore() {
    countedSince = startedAt - bounds.windowMillis();
  }

  /** Puts newer bounds in force for workspaces that are counted from now on. */
  public void bounds(QuotaBounds newer) {
    bounds = newer;
  }

  /** Follows the list of live VMs. */
  public void live(Collection<String> names) {
    live = List.copyOf(names);
    counted.values().forEach(known -> known.order = List.of());
  }

  /** Puts the workspaces of newer rules in force; what they have used counts on. */
  public void workspaces(Map<String, Workspace> newer) {
    workspaces = newer;
    counted.keySet().removeIf(name -> !newer.containsKey(name));
    active.removeIf(known -> !newer.containsKey(known.workspace.name()));
    coordinated.keySet().removeIf(name -> !newer.containsKey(name));
    coordinated.forEach((name, known) -> known.coordinator.quota(quota(name)));
  }

  private Quota quota(String workspace) {
    Workspace known = workspaces.get(workspace);
    return known == null ? Quota.unlimited() : known.quota();
  }

  /**
   * Decides whether a request may run. It counts from the decision on; see {@link #giveBack}.
   *
   * @param later called with the decision where it is {@link QuotaDecision.Pending} at first
   */
  public QuotaDecision admit(Workspace workspace, long now, Consumer<QuotaDecision> later) {
    Quota quota = quota(workspace.name());
    if (!quota.isLimited()) {
      return new QuotaDecision.Granted();
    }
    Counted known = counted(workspace);
    QuotaDecision decision = known.meter.admit(quota, now);
    if (decision instanceof QuotaDecision.Pending) {
      known.meter.await(later, now);
    }
    reportIfDue(known, now);
    activate(known, now);
    return decision;
  }

  /** A request that was admitted is sent once more, having maybe run before. */
  public void sentAgain(Workspace workspace, long now) {
    adjust(workspace, 1, now);
  }

  /** A request that was admitted has not run and will not. */
  public void giveBack(Workspace workspace, long now) {
    adjust(workspace, -1, now);
  }

  private void adjust(Workspace workspace, int requests, long now) {
    if (quota(workspace.name()).isLimited()) {
      Counted known = counted(workspace);
      known.meter.adjust(requests, now);
      activate(known, now);
    }
  }

  private Counted counted(Workspace workspace) {
    return counted.computeIfAbsent(
        workspace.name(), name -> new Counted(workspace, new WorkspaceMeter(name, bounds)));
  }

  private void activate(Counted known, long now) {
    if (known.meter.isActive(now)) {
      active.add(known);
    }
    wake();
  }

  private void wake() {
    if (!awake && (!active.isEmpty() || !coordinated.isEmpty())) {
      awake = true;
      peers.wake();
    }
  }

  /** Looks at what is open: sends reports that are due, goes to other coordinators, notices. */
  public void tick(long now) {
    awake = false;
    for (Counted known : new ArrayList<>(active)) {
      lookAt(known, now);
    }
    active.removeIf(known -> !known.meter.isActive(now));
    for (Map.Entry<String, Coordinated> known : coordinated.entrySet()) {
      known.getValue().coordinator.sweep(now);
      notice(known.getKey(), known.getValue(), now);
    }
    coordinated.values().removeIf(known -> known.coordinator.isIdle());
    wake();
  }

  private void lookAt(Counted known, long now) {
    long since = known.meter.unansweredSince();
    if (since >= 0 && now - since >= ANSWER_MILLIS) {
      known.meter.unanswered(now);
      known.tries++;
      if (known.tries >= TRIES) {
        known.tries = 0;
        goOn(known, now);
      }
    }
    known.meter.decideOverdue(now);
    reportIfDue(known, now);
  }

  /** Goes to the next coordinator in order; behind the last one, on without any for a while. */
  private void goOn(Counted known, long now) {
    int last = order(known).size() - 1;
    known.rankUntil = now + SUSPECT_MILLIS;
    if (known.rank < last) {
      known.rank++;
      return;
    }
    known.rank = 0;
    // The others do not know a VM that has just started, and pass its reports over.
    if (everAnswered || now - startedAt >= contactMillis) {
      known.meter.alone(quota(known.workspace.name()), now);
    }
  }

  private List<String> order(Counted known) {
    if (known.order.isEmpty()) {
      List<String> all = Rendezvous.order(known.workspace.name(), live);
      known.order = List.copyOf(all.subList(0, Math.min(COORDINATORS, all.size())));
    }
    return known.order;
  }

  private void reportIfDue(Counted known, long now) {
    if (!known.meter.isReportDue(now)) {
      return;
    }
    if (known.rank > 0 && now >= known.rankUntil) {
      known.rank = 0;
    }
    List<String> order = order(known);
    String coordinator = order.get(Math.min(known.rank, order.size() - 1));
    UsageReport report = known.meter.report(now);
    if (coordinator.equals(self)) {
      TokenGrant answer = answer(self, report, now);
      if (answer != null) {
        granted(known, answer, now);
      }
      return;
    }
    peers.send(coordinator, report);
  }

  /** Takes a message of the VM of that name. */
  public void received(String from, QuotaMessage message, long now) {
    if (message instanceof UsageReport report) {
      TokenGrant answer = answer(from, report, now);
      if (answer != null) {
        peers.send(from, answer);
      }
      wake();
      return;
    }
    if (message instanceof TokenGrant grant) {
      Workspace workspace = workspaces.get(grant.workspace());
      if (workspace != null) {
        everAnswered = true;
        Counted known = counted(workspace);
        granted(known, grant, now);
        activate(known, now);
      }
    }
  }

  private static void granted(Counted known, TokenGrant grant, long now) {
    if (grant.number() != TokenGrant.NOTICE) {
      known.tries = 0;
    }
    known.meter.granted(grant, known.rank == 0, now);
  }

  /** Answers a report; null where the workspace is not known here, or has no quota any more. */
  private @Nullable TokenGrant answer(String from, UsageReport report, long now) {
    Quota quota = quota(report.workspace());
    if (!quota.isLimited()) {
      return null;
    }
    Coordinated known =
        coordinated.computeIfAbsent(
            report.workspace(),
            name -> new Coordinated(new QuotaCoordinator(bounds, quota, countedSince)));
    TokenGrant answer = known.coordinator.report(from, report, now);
    notice(report.workspace(), known, now);
    return answer;
  }

  private void notice(String workspace, Coordinated known, long now) {
    if (!known.coordinator.isLimited()) {
      known.noticed = false;
      known.nextNoticeAt = Long.MIN_VALUE;
      return;
    }
    if (bounds.areExact() || now < known.nextNoticeAt) {
      return;
    }
    known.nextNoticeAt = now + (known.noticed ? NOTICE_MILLIS : SECOND_NOTICE_MILLIS);
    known.noticed = true;
    TokenGrant notice = new TokenGrant(workspace, TokenGrant.NOTICE, true, 0, 0);
    for (String vm : live) {
      if (!vm.equals(self)) {
        peers.send(vm, notice);
      }
    }
    Workspace own = workspaces.get(workspace);
    if (own != null) {
      granted(counted(own), notice, now);
    }
  }
}
