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
public final class Day {
  /** Scope of trouble that touches every entry VM. */
  public static final String EVERYWHERE = "everywhere";

  /**
   * A span of trouble.
   *
   * @param scope IP number of the entry VM that it touches, the zone whose links it touches, or
   *     {@link #EVERYWHERE}
   * @param planned true for planned work, such as a planned stop
   */
  public record Span(String scope, boolean planned, long from, long to) {}

  /** An answer of a look-up: who named whom. */
  public record Named(String answeredBy, List<String> addresses, long at) {}

  private final Ledger ledger = new Ledger();
  private final PlatformBounds bounds = PlatformBounds.standard();
  private final List<Span> spans = new ArrayList<>();
  private final List<CompletedRequest> requests = new ArrayList<>();
  private final Map<String, Set<String>> servicesOfRoute = new HashMap<>();
  private final Map<String, Workspace> workspaces = new HashMap<>();
  private long endsAt;

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
  public long endsAt() {
    return endsAt;
  }

  void endsAt(long at) {
    endsAt = at;
  }

  /** Notes a workspace as the newest configuration has it. */
  public void hold(Workspace workspace) {
    workspaces.put(workspace.name(), workspace);
  }

  /** The workspaces by name, as the newest configuration has them. */
  public Map<String, Workspace> workspaces() {
    return workspaces;
  }

  /** Notes a span of trouble. */
  public void trouble(Span span) {
    spans.add(span);
  }

  /** Notes that a configuration lets requests of {@code route} go to its services. */
  public void allow(RouteRule route) {
    Set<String> services = servicesOfRoute.computeIfAbsent(route.name(), name -> new HashSet<>());
    route.services().forEach(share -> services.add(share.service()));
  }

  /** Services to which any configuration of the day let the route go. */
  public Set<String> services(String route) {
    return servicesOfRoute.getOrDefault(route, Set.of());
  }

  /**
   * True where the entry VM was in touch from {@code from} to {@code to}, and for the contact time
   * before: no trouble of its own or of all touched it. Planned work of others does not count.
   */
  public boolean inTouch(String vm, long from, long to) {
    return spans.stream()
        .filter(span -> span.scope().equals(vm) || span.scope().equals(EVERYWHERE))
        .noneMatch(span -> overlaps(span, from - bounds.discoveryMillis(), to));
  }

  /**
   * True where a request that arrives in {@code zone} was held up by nothing but its sender: no
   * trouble touched the links to the zone in the contact time before.
   */
  public boolean linksSound(String zone, long at) {
    return spans.stream()
        .filter(span -> span.scope().equals(zone))
        .noneMatch(span -> overlaps(span, at - bounds.discoveryMillis(), at));
  }

  /** True where nothing unplanned touched anything from {@code from} to {@code to}. */
  public boolean calm(long from, long to) {
    return spans.stream()
        .filter(span -> !span.planned())
        .noneMatch(span -> overlaps(span, from - bounds.discoveryMillis(), to));
  }

  private static boolean overlaps(Span span, long from, long to) {
    return span.from() <= to && span.to() >= from;
  }

  /** Planned work at the entry VM of that IP number. */
  public List<Span> plannedWork(String vm) {
    return spans.stream().filter(span -> span.planned() && span.scope().equals(vm)).toList();
  }

  /** When the last trouble ended; 0 where there was none. */
  public long lastTrouble() {
    return spans.stream().mapToLong(Span::to).max().orElse(0);
  }

  /** Requests a second that a cold target of the deployment bears. */
  public double coldPerSecond() {
    return TargetTraits.standard().coldRequestsPerSecond();
  }

  /** Credit earned of the credit owed, by goal and lateness, 0 to 1. */
  public double worth() {
    double owed = 0;
    double earned = 0;
    for (CompletedRequest request : requests) {
      owed += request.profile().answerValue();
      if (request.status() >= 200 && request.status() < 300) {
        boolean inTime = request.durationMillis() <= request.profile().latencyGoalMillis();
        earned += request.profile().answerValue() * (inTime ? 1 : LATE_PART);
      }
    }
    return owed == 0 ? 0 : earned / owed;
  }

  /** Part of its worth that an answer after its goal earns. */
  private static final double LATE_PART = 0.2;

  /** Part of the requests sent from {@code from} on that got a success. */
  public double served(long from) {
    List<CompletedRequest> after =
        requests.stream().filter(r -> r.startedAtMillis() >= from).toList();
    long served = after.stream().filter(r -> r.status() >= 200 && r.status() < 300).count();
    return after.isEmpty() ? 1 : (double) served / after.size();
  }
}
