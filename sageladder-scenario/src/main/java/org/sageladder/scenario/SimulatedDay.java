package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.Workspace;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.PlatformBounds;
import org.sageladder.standin.platform.TargetTraits;

/**
 * Record of a simulated day: what callers and targets observed, and which troubles were injected.
 */
public final class SimulatedDay {
  /** Scope of trouble that affects every entry VM. */
  public static final String ALL_ENTRY_VMS = "everywhere";

  private static final String LINKS_TO_TARGETS = "links to targets";

  /**
   * A period during which a trouble is in effect.
   *
   * @param scope IP address of the affected entry VM, the zone whose network links are affected, or
   *     {@link #ALL_ENTRY_VMS}
   * @param isPlanned true for planned work, such as a planned stop
   */
  public record TroubleInterval(String scope, boolean isPlanned, long fromMillis, long toMillis) {}

  /**
   * A period in which entry VMs reach no target, while callers, the store and the other entry VMs
   * reach them.
   *
   * @param vms IP addresses of these VMs
   * @param isSteady false if targets are reached at times within the period
   */
  public record TargetCut(Set<String> vms, boolean isSteady, long fromMillis, long toMillis) {}

  /** Response to a look-up: the entry VM that responded and the addresses that it returned. */
  public record LookUpResponse(String answeredBy, List<String> addresses, long atMillis) {}

  private record RouteVersion(RouteRule route, long atMillis) {}

  private final Ledger ledger = new Ledger();
  private final PlatformBounds bounds = PlatformBounds.standard();
  private final List<TroubleInterval> troubleIntervals = new ArrayList<>();
  private final List<TargetCut> targetCuts = new ArrayList<>();
  private final List<CompletedRequest> requests = new ArrayList<>();
  private final Map<String, List<RouteVersion>> versionsByRoute = new HashMap<>();
  private final Map<String, Workspace> workspaces = new HashMap<>();
  private final Map<String, Integer> storeCallsByKind = new TreeMap<>();
  private long endMillis;

  /** What callers, targets and the operator observed. */
  public Ledger ledger() {
    return ledger;
  }

  /** The limits that the rules check. */
  public PlatformBounds bounds() {
    return bounds;
  }

  /** Completed requests of callers, ordered by completion. */
  public List<CompletedRequest> requests() {
    return requests;
  }

  /** When the traffic of the day stopped. */
  public long endMillis() {
    return endMillis;
  }

  /** Records when the traffic stopped. */
  public void endMillis(long millis) {
    endMillis = millis;
  }

  /** Records the number of calls to the store, by kind. */
  public void recordStoreCalls(Map<String, Integer> countsByKind) {
    storeCallsByKind.putAll(countsByKind);
  }

  /** Calls to the store until the traffic stopped, by kind. */
  public Map<String, Integer> storeCallsByKind() {
    return storeCallsByKind;
  }

  /** Records a workspace as defined by the newest configuration. */
  public void putWorkspace(Workspace workspace) {
    workspaces.put(workspace.name(), workspace);
  }

  /** The workspaces by name, as defined by the newest configuration. */
  public Map<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Records a period of trouble. */
  public void recordTrouble(TroubleInterval interval) {
    troubleIntervals.add(interval);
  }

  /**
   * Records a period in which entry VMs reach no target. These VMs count as in contact all the
   * while; the period is a disturbance of the day.
   */
  public void recordTargetCut(TargetCut cut) {
    targetCuts.add(cut);
    recordTrouble(new TroubleInterval(LINKS_TO_TARGETS, false, cut.fromMillis(), cut.toMillis()));
  }

  /**
   * Returns true if the links between the entry VM and targets were cut during the contact time
   * before {@code atMillis}, so that a request that arrives then may have been held up on its way.
   */
  public boolean mayBeHeldUp(String vm, long atMillis) {
    return targetCuts.stream()
        .filter(cut -> cut.vms().contains(vm))
        .anyMatch(
            cut ->
                cut.fromMillis() <= atMillis
                    && cut.toMillis() >= atMillis - bounds.discoveryMillis());
  }

  /** The periods in which entry VMs reached no target. */
  public List<TargetCut> targetCuts() {
    return targetCuts;
  }

  /**
   * Records that a configuration of {@code atMillis} allows requests on {@code route} to go to its
   * services.
   */
  public void allowRoute(RouteRule route, long atMillis) {
    versionsByRoute
        .computeIfAbsent(route.name(), name -> new ArrayList<>())
        .add(new RouteVersion(route, atMillis));
  }

  /** Services that any configuration of the day allowed for the route. */
  public Set<String> allowedServices(String route) {
    return allowedServices(route, Long.MIN_VALUE, Long.MAX_VALUE);
  }

  /** Services that a configuration written from {@code fromMillis} to {@code toMillis} allowed. */
  public Set<String> allowedServices(String route, long fromMillis, long toMillis) {
    Set<String> services = new HashSet<>();
    for (RouteVersion version : versionsByRoute.getOrDefault(route, List.of())) {
      if (version.atMillis() >= fromMillis && version.atMillis() <= toMillis) {
        version.route().services().forEach(share -> services.add(share.service()));
      }
    }
    return services;
  }

  /**
   * Returns true if no trouble affected the entry VM between {@code fromMillis} and {@code
   * toMillis}, nor during the contact time before. Only troubles of this VM or of all entry VMs
   * count; planned work on other VMs does not.
   */
  public boolean isInContact(String vm, long fromMillis, long toMillis) {
    return troubleIntervals.stream()
        .filter(span -> span.scope().equals(vm) || span.scope().equals(ALL_ENTRY_VMS))
        .noneMatch(span -> overlaps(span, fromMillis - bounds.discoveryMillis(), toMillis));
  }

  /**
   * Returns true if the entry VM was in contact both when it took a request from its caller and
   * when the request arrived at a target. A trouble between the two moments, or before the contact
   * time of the first, excuses nothing.
   */
  public boolean isHandledInContact(String vm, long takenMillis, long arrivedMillis) {
    return isInContact(vm, takenMillis, takenMillis)
        && isInContact(vm, arrivedMillis, arrivedMillis);
  }

  /** Returns true if no trouble affected all entry VMs during the contact time before. */
  public boolean isStoreStable(long atMillis) {
    return isInContact(ALL_ENTRY_VMS, atMillis, atMillis);
  }

  /**
   * Returns true if this entry VM itself was restarted, suspended, cut off or otherwise disturbed
   * between {@code fromMillis} and {@code toMillis}.
   */
  public boolean wasDisturbed(String vm, long fromMillis, long toMillis) {
    return troubleIntervals.stream()
        .filter(span -> span.scope().equals(vm))
        .anyMatch(span -> overlaps(span, fromMillis, toMillis));
  }

  /**
   * Returns true if no trouble affected the network links to {@code zone} during the contact time
   * before {@code atMillis}, so that only the sender can have delayed a request that arrives there.
   */
  public boolean areLinksHealthy(String zone, long atMillis) {
    return troubleIntervals.stream()
        .filter(span -> span.scope().equals(zone))
        .noneMatch(span -> overlaps(span, atMillis - bounds.discoveryMillis(), atMillis));
  }

  /**
   * Returns true if no unplanned trouble was in effect between {@code fromMillis} and {@code
   * toMillis}, nor during the contact time before.
   */
  public boolean isUndisturbed(long fromMillis, long toMillis) {
    return troubleIntervals.stream()
        .filter(span -> !span.isPlanned())
        .noneMatch(span -> overlaps(span, fromMillis - bounds.discoveryMillis(), toMillis));
  }

  private static boolean overlaps(TroubleInterval interval, long fromMillis, long toMillis) {
    return interval.fromMillis() <= toMillis && interval.toMillis() >= fromMillis;
  }

  /** Planned work on the entry VM with that IP address. */
  public List<TroubleInterval> plannedIntervals(String vm) {
    return troubleIntervals.stream()
        .filter(span -> span.isPlanned() && span.scope().equals(vm))
        .toList();
  }

  /** When the last trouble ended; 0 if there was none. */
  public long lastTroubleEndMillis() {
    return troubleIntervals.stream().mapToLong(TroubleInterval::toMillis).max().orElse(0);
  }

  /** Requests per second that a cold target can handle. */
  public double coldCapacityPerSecond() {
    return TargetTraits.standard().coldRequestsPerSecond();
  }

  /**
   * Credit earned by successful responses as a fraction, 0 to 1, of the credit that all requests
   * could earn. A response after its latency goal earns only a part of its credit.
   */
  public double creditFraction() {
    double owed = 0;
    double earned = 0;
    for (CompletedRequest request : requests) {
      owed += request.profile().answerValue();
      if (request.status() >= 200 && request.status() < 300) {
        boolean inTime = request.durationMillis() <= request.profile().latencyGoalMillis();
        earned += request.profile().answerValue() * (inTime ? 1 : LATE_CREDIT_FRACTION);
      }
    }
    return owed == 0 ? 0 : earned / owed;
  }

  /** Fraction of its credit that a response after its latency goal earns. */
  private static final double LATE_CREDIT_FRACTION = 0.2;

  /** Fraction of the requests sent at or after {@code fromMillis} that succeeded. */
  public double successFraction(long fromMillis) {
    List<CompletedRequest> sent =
        requests.stream().filter(r -> r.startedAtMillis() >= fromMillis).toList();
    long successes = sent.stream().filter(r -> r.status() >= 200 && r.status() < 300).count();
    return sent.isEmpty() ? 1 : (double) successes / sent.size();
  }
}
