package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.Workspace;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.PlatformBounds;
import org.sageladder.standin.platform.TargetTraits;

/** What is known of a day that was played: what was seen, and what was done to the system. */
public final class SimulatedDay {
  /** Scope of trouble that touches every entry VM. */
  public static final String ALL_ENTRY_VMS = "everywhere";

  /**
   * A span of trouble.
   *
   * @param scope IP number of the entry VM that it touches, the zone whose links it touches, or
   *     {@link #ALL_ENTRY_VMS}
   * @param isPlanned true for planned work, such as a planned stop
   */
  public record TroubleInterval(String scope, boolean isPlanned, long fromMillis, long toMillis) {}

  /** An answer of a look-up: who named whom. */
  public record LookUpResponse(String answeredBy, List<String> addresses, long atMillis) {}

  private final Ledger ledger = new Ledger();
  private final PlatformBounds bounds = PlatformBounds.standard();
  private final List<TroubleInterval> troubleIntervals = new ArrayList<>();
  private final List<CompletedRequest> requests = new ArrayList<>();
  private final Map<String, Set<String>> servicesByRoute = new HashMap<>();
  private final Map<String, Workspace> workspaces = new HashMap<>();
  private long endMillis;

  /** What was seen. */
  public Ledger ledger() {
    return ledger;
  }

  /** The bounds of the rules. */
  public PlatformBounds bounds() {
    return bounds;
  }

  /** Requests of callers with what became of them, in the order of their ends. */
  public List<CompletedRequest> requests() {
    return requests;
  }

  /** When the day ended. */
  public long endMillis() {
    return endMillis;
  }

  void endMillis(long millis) {
    endMillis = millis;
  }

  /** Notes a workspace as the newest configuration has it. */
  public void putWorkspace(Workspace workspace) {
    workspaces.put(workspace.name(), workspace);
  }

  /** The workspaces by name, as the newest configuration has them. */
  public Map<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Notes a span of trouble. */
  public void recordTrouble(TroubleInterval interval) {
    troubleIntervals.add(interval);
  }

  /** Notes that a configuration lets requests of {@code route} go to its services. */
  public void allowRoute(RouteRule route) {
    Set<String> services = servicesByRoute.computeIfAbsent(route.name(), name -> new HashSet<>());
    route.services().forEach(share -> services.add(share.service()));
  }

  /** Services to which any configuration of the day let the route go. */
  public Set<String> allowedServices(String route) {
    return servicesByRoute.getOrDefault(route, Set.of());
  }

  /**
   * True where the entry VM was in touch from {@code from} to {@code to}, and for the contact time
   * before: no trouble of its own or of all touched it. Planned work of others does not count.
   */
  public boolean isInContact(String vm, long fromMillis, long toMillis) {
    return troubleIntervals.stream()
        .filter(span -> span.scope().equals(vm) || span.scope().equals(ALL_ENTRY_VMS))
        .noneMatch(span -> overlaps(span, fromMillis - bounds.discoveryMillis(), toMillis));
  }

  /**
   * True where a request that arrives in {@code zone} was held up by nothing but its sender: no
   * trouble touched the links to the zone in the contact time before.
   */
  public boolean areLinksHealthy(String zone, long atMillis) {
    return troubleIntervals.stream()
        .filter(span -> span.scope().equals(zone))
        .noneMatch(span -> overlaps(span, atMillis - bounds.discoveryMillis(), atMillis));
  }

  /** True where nothing unplanned touched anything from {@code from} to {@code to}. */
  public boolean isUndisturbed(long fromMillis, long toMillis) {
    return troubleIntervals.stream()
        .filter(span -> !span.isPlanned())
        .noneMatch(span -> overlaps(span, fromMillis - bounds.discoveryMillis(), toMillis));
  }

  private static boolean overlaps(TroubleInterval interval, long fromMillis, long toMillis) {
    return interval.fromMillis() <= toMillis && interval.toMillis() >= fromMillis;
  }

  /** Planned work at the entry VM of that IP number. */
  public List<TroubleInterval> plannedIntervals(String vm) {
    return troubleIntervals.stream()
        .filter(span -> span.isPlanned() && span.scope().equals(vm))
        .toList();
  }

  /** When the last trouble ended; 0 where there was none. */
  public long lastTroubleEndMillis() {
    return troubleIntervals.stream().mapToLong(TroubleInterval::toMillis).max().orElse(0);
  }

  /** Requests a second that a cold target of the deployment bears. */
  public double coldCapacityPerSecond() {
    return TargetTraits.standard().coldRequestsPerSecond();
  }

  /** Credit earned of the credit owed, by goal and lateness, 0 to 1. */
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

  /** Part of its worth that an answer after its goal earns. */
  private static final double LATE_CREDIT_FRACTION = 0.2;

  /** Part of the requests sent from {@code from} on that got a success. */
  public double successFraction(long fromMillis) {
    List<CompletedRequest> sent =
        requests.stream().filter(r -> r.startedAtMillis() >= fromMillis).toList();
    long successes = sent.stream().filter(r -> r.status() >= 200 && r.status() < 300).count();
    return sent.isEmpty() ? 1 : (double) successes / sent.size();
  }
}
