package org.sageladder.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.time.VirtualTime;

/**
 * A simulated zone with one view builder, and members that can be cut off, paused, restarted or
 * stopped.
 */
final class ZoneFake {
  static final int SLOTS = 3;
  static final int TARGETS = 6;
  static final Duration STEP = Duration.ofMillis(50);

  final VirtualTime time = VirtualTime.startingAt(1_000_000);
  final Map<String, MemberFake> members = new TreeMap<>();
  final Set<String> drainingTargets = new TreeSet<>();
  final Map<String, Long> targetIncarnations = new TreeMap<>();
  final Map<String, String> targetsOfOtherZones = new TreeMap<>();
  private final MembershipSettings settings = MembershipSettings.standard();
  private ZoneViewBuilder builder;
  private ZoneView view = new ZoneView("tartu-a", 0, List.of(), List.of());
  private final Map<String, List<String>> changesByTarget = new TreeMap<>();
  private @Nullable RelayedView lastRelayedView;
  private int steps;

  ZoneFake(int size) {
    for (int i = 0; i < size; i++) {
      add("vm-" + i);
    }
    for (int t = 0; t < TARGETS; t++) {
      targetIncarnations.put("t-" + t, 1L);
    }
    startRelay(1);
  }

  /** An entry VM that acts according to its guard and the last view it received. */
  final class MemberFake {
    final String vm;
    long incarnation = 1;
    boolean isCutOff;
    boolean isPaused;
    boolean isDead;
    boolean isDraining;
    boolean isUnlisted;
    boolean loadMatchesInFlight = true;
    private long lastConnectedNanos = time.nanos();
    ZoneView currentView = new ZoneView("tartu-a", 0, List.of(), List.of());
    ConfirmationGuard guard = ConfirmationGuard.of(settings, time);
    final Map<String, Integer> inFlight = new TreeMap<>();

    MemberFake(String vm) {
      this.vm = vm;
    }

    /** Slots of the target that this member's gate would use now. */
    int usableSlots(String target) {
      if (isDead || isPaused) {
        return 0;
      }
      return currentView.holdings().stream()
          .filter(holding -> holding.target().equals(target) && holding.holder().equals(vm))
          .mapToInt(guard::usableSlots)
          .sum();
    }

    void restart() {
      incarnation++;
      isDead = false;
      isPaused = false;
      isDraining = false;
      inFlight.clear();
      currentView = new ZoneView("tartu-a", 0, List.of(), List.of());
      guard = ConfirmationGuard.of(settings, time);
    }

    private Heartbeat heartbeat() {
      List<TargetReport> reports = new ArrayList<>();
      targetIncarnations.forEach(
          (target, now) ->
              reports.add(
                  new TargetReport(
                      target, now, false, inFlight.getOrDefault(target, 0), loadMatchesInFlight)));
      inFlight.forEach(
          (target, count) -> {
            if (!targetIncarnations.containsKey(target)) {
              reports.add(new TargetReport(target, 0, false, count, false));
            }
          });
      Member self = new Member(vm, "tartu-a", incarnation, "127.0.0.1", 1, 2, isDraining);
      return new Heartbeat(self, time.nanos(), currentView.number(), 5, reports, List.of());
    }
  }

  MemberFake add(String vm) {
    MemberFake member = new MemberFake(vm);
    members.put(vm, member);
    return member;
  }

  /** Starts a new relay with that fencing token, which continues from the last view. */
  void startRelay(long fencingToken) {
    builder =
        ZoneViewBuilder.of(
            settings,
            time,
            "tartu-a",
            "vm-0",
            fencingToken,
            Optional.ofNullable(lastRelayedView),
            service -> SLOTS);
    builder.onPlatformList(platformList());
  }

  ZoneViewBuilder builder() {
    return builder;
  }

  ZoneView view() {
    return view;
  }

  Holding holding(String target) {
    return view.holdings().stream()
        .filter(holding -> holding.target().equals(target))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Describes which members may use how many slots of the target, and the changes of its holding.
   */
  String explain(String target) {
    StringBuilder text = new StringBuilder();
    members.forEach(
        (vm, member) ->
            text.append(vm)
                .append('#')
                .append(member.incarnation)
                .append(member.isDead ? " dead" : "")
                .append(member.isPaused ? " paused" : "")
                .append(member.isCutOff ? " cut off" : "")
                .append(" may use ")
                .append(member.usableSlots(target))
                .append(", has in flight ")
                .append(member.inFlight.getOrDefault(target, 0))
                .append("; "));
    return text + String.join(" ", changesByTarget.getOrDefault(target, List.of()));
  }

  int slotsInUseOrUsable(String target) {
    return members.values().stream()
        .mapToInt(
            member -> Math.max(member.usableSlots(target), member.inFlight.getOrDefault(target, 0)))
        .sum();
  }

  void run(Duration length) {
    for (long i = 0; i < length.toNanos() / STEP.toNanos(); i++) {
      step();
    }
  }

  /**
   * Runs one tick of the relay and of all members; heartbeats are sent at every tenth step and on
   * each new view.
   */
  void step() {
    time.advance(STEP);
    steps++;
    boolean isHeartbeatDue = steps % 10 == 0;
    if (steps % 20 == 0) {
      builder.onPlatformList(platformList());
    }
    Optional<RelayedView> newView = builder.tick();
    newView.ifPresent(this::recordView);
    for (MemberFake member : members.values()) {
      endRequestsOfSilentMember(member);
      if (member.isDead || member.isPaused) {
        continue;
      }
      member.guard.tick();
      if (member.isCutOff) {
        continue;
      }
      member.lastConnectedNanos = time.nanos();
      boolean isBehind = member.currentView.number() < view.number();
      if (isBehind) {
        member.currentView = view;
      }
      if (isHeartbeatDue || isBehind) {
        HeartbeatAnswer answer = builder.onHeartbeat(member.heartbeat());
        if (answer.isConfirmed()) {
          member.guard.onConfirmed(answer.echoedSentNanos());
        }
      }
    }
  }

  private void recordView(RelayedView newView) {
    lastRelayedView = newView;
    ZoneView next = newView.view();
    view = next;
    for (Holding holding : next.holdings()) {
      List<String> changes =
          changesByTarget.computeIfAbsent(holding.target(), t -> new ArrayList<>());
      String change = holding.holder() + "=" + holding.slots();
      if (changes.isEmpty() || !changes.get(changes.size() - 1).endsWith(change)) {
        changes.add(time.nanos() / 1_000_000 + ":" + (next.number() >> 20) + ":" + change);
      }
    }
  }

  /**
   * Ends requests that were in flight when a member fell silent once the confirmation window has
   * passed.
   */
  private void endRequestsOfSilentMember(MemberFake member) {
    if (time.nanos() - member.lastConnectedNanos > settings.confirmationWindow().toNanos()) {
      member.inFlight.replaceAll((target, count) -> Math.min(count, member.usableSlots(target)));
    }
  }

  private List<ListedVm> platformList() {
    List<ListedVm> listings = new ArrayList<>();
    for (MemberFake member : members.values()) {
      if (!member.isUnlisted) {
        listings.add(listing(VmRole.ENTRY, member.vm, "", member.incarnation, false));
      }
    }
    targetIncarnations.forEach(
        (target, incarnation) ->
            listings.add(
                listing(
                    VmRole.TARGET,
                    target,
                    "search",
                    incarnation,
                    drainingTargets.contains(target))));
    targetsOfOtherZones.forEach(
        (target, zone) ->
            listings.add(
                new ListedVm(
                    VmRole.TARGET, target, "k", "search", zone, "127.0.0.1", 1, 2, 1, false)));
    return listings;
  }

  private static ListedVm listing(
      VmRole role, String id, String service, long incarnation, boolean isLeaving) {
    return new ListedVm(
        role, id, "k", service, "tartu-a", "127.0.0.1", 1, 2, incarnation, isLeaving);
  }
}
