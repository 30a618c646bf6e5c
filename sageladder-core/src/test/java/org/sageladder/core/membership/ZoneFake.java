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

/** A zone with one view maker and members that can be cut off, paused, restarted or stopped. */
final class ZoneFake {
  static final int SLOTS = 3;
  static final int TARGETS = 6;
  static final Duration STEP = Duration.ofMillis(50);

  final VirtualTime time = VirtualTime.startingAt(1_000_000);
  final Map<String, MemberFake> members = new TreeMap<>();
  final Set<String> leavingTargets = new TreeSet<>();
  final Map<String, Long> targetIncarnations = new TreeMap<>();
  final Map<String, String> targetsOfOtherZones = new TreeMap<>();
  private final MembershipSettings settings = MembershipSettings.standard();
  private ZoneViewBuilder maker;
  private ZoneView view = new ZoneView("tartu-a", 0, List.of(), List.of());
  private final Map<String, List<String>> history = new TreeMap<>();
  private @Nullable RelayedView relayed;
  private int steps;

  ZoneFake(int size) {
    for (int i = 0; i < size; i++) {
      add("vm-" + i);
    }
    for (int t = 0; t < TARGETS; t++) {
      targetIncarnations.put("t-" + t, 1L);
    }
    relay(1);
  }

  /** One entry VM as its guard and its last seen view make it act. */
  final class MemberFake {
    final String vm;
    long incarnation = 1;
    boolean cutOff;
    boolean paused;
    boolean dead;
    boolean leaving;
    boolean unlisted;
    boolean loadAgrees = true;
    private long heardNanos = time.nanos();
    ZoneView seen = new ZoneView("tartu-a", 0, List.of(), List.of());
    ConfirmationGuard guard = ConfirmationGuard.of(settings, time);
    final Map<String, Integer> inFlight = new TreeMap<>();

    MemberFake(String vm) {
      this.vm = vm;
    }

    /** Slots of the target that this member's gate would use at this moment. */
    int usable(String target) {
      if (dead || paused) {
        return 0;
      }
      return seen.holdings().stream()
          .filter(holding -> holding.target().equals(target) && holding.holder().equals(vm))
          .mapToInt(guard::usableSlots)
          .sum();
    }

    void restart() {
      incarnation++;
      dead = false;
      paused = false;
      leaving = false;
      inFlight.clear();
      seen = new ZoneView("tartu-a", 0, List.of(), List.of());
      guard = ConfirmationGuard.of(settings, time);
    }

    private Heartbeat heartbeat() {
      List<TargetReport> reports = new ArrayList<>();
      targetIncarnations.forEach(
          (target, now) ->
              reports.add(
                  new TargetReport(
                      target, now, false, inFlight.getOrDefault(target, 0), loadAgrees)));
      inFlight.forEach(
          (target, count) -> {
            if (!targetIncarnations.containsKey(target)) {
              reports.add(new TargetReport(target, 0, false, count, false));
            }
          });
      Member self = new Member(vm, "tartu-a", incarnation, "127.0.0.1", 1, 2, leaving);
      return new Heartbeat(self, time.nanos(), seen.number(), 5, reports, List.of());
    }
  }

  MemberFake add(String vm) {
    MemberFake member = new MemberFake(vm);
    members.put(vm, member);
    return member;
  }

  /** A new relay with that fencing revision goes on from the last view. */
  void relay(long fencing) {
    maker =
        ZoneViewBuilder.of(
            settings,
            time,
            "tartu-a",
            "vm-0",
            fencing,
            Optional.ofNullable(relayed),
            service -> SLOTS);
    maker.onPlatformList(list());
  }

  ZoneViewBuilder maker() {
    return maker;
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

  /** Who may use how many slots of the target, and how its holding changed lately. */
  String explain(String target) {
    StringBuilder text = new StringBuilder();
    members.forEach(
        (vm, member) ->
            text.append(vm)
                .append('#')
                .append(member.incarnation)
                .append(member.dead ? " dead" : "")
                .append(member.paused ? " paused" : "")
                .append(member.cutOff ? " cut off" : "")
                .append(" may use ")
                .append(member.usable(target))
                .append(", has in flight ")
                .append(member.inFlight.getOrDefault(target, 0))
                .append("; "));
    return text + String.join(" ", history.getOrDefault(target, List.of()));
  }

  int usableTogether(String target) {
    return members.values().stream()
        .mapToInt(
            member -> Math.max(member.usable(target), member.inFlight.getOrDefault(target, 0)))
        .sum();
  }

  void run(Duration length) {
    for (long i = 0; i < length.toNanos() / STEP.toNanos(); i++) {
      step();
    }
  }

  /** One tick of the relay and of all members; heartbeats every tenth and on each new view. */
  void step() {
    time.advance(STEP);
    steps++;
    boolean beat = steps % 10 == 0;
    if (steps % 20 == 0) {
      maker.onPlatformList(list());
    }
    Optional<RelayedView> made = maker.tick();
    made.ifPresent(this::note);
    for (MemberFake member : members.values()) {
      endOldRequests(member);
      if (member.dead || member.paused) {
        continue;
      }
      member.guard.tick();
      if (member.cutOff) {
        continue;
      }
      member.heardNanos = time.nanos();
      boolean behind = member.seen.number() < view.number();
      if (behind) {
        member.seen = view;
      }
      if (beat || behind) {
        HeartbeatAnswer answer = maker.onHeartbeat(member.heartbeat());
        if (answer.isConfirmed()) {
          member.guard.onConfirmed(answer.echoedSentNanos());
        }
      }
    }
  }

  private void note(RelayedView made) {
    relayed = made;
    ZoneView next = made.view();
    view = next;
    for (Holding holding : next.holdings()) {
      List<String> changes = history.computeIfAbsent(holding.target(), t -> new ArrayList<>());
      String change = holding.holder() + "=" + holding.slots();
      if (changes.isEmpty() || !changes.get(changes.size() - 1).endsWith(change)) {
        changes.add(time.nanos() / 1_000_000 + ":" + (next.number() >> 20) + ":" + change);
      }
    }
  }

  /** Requests that were under way when a member fell silent end within the confirm window. */
  private void endOldRequests(MemberFake member) {
    if (time.nanos() - member.heardNanos > settings.confirmationWindow().toNanos()) {
      member.inFlight.replaceAll((target, count) -> Math.min(count, member.usable(target)));
    }
  }

  private List<ListedVm> list() {
    List<ListedVm> lines = new ArrayList<>();
    for (MemberFake member : members.values()) {
      if (!member.unlisted) {
        lines.add(line(VmRole.ENTRY, member.vm, "", member.incarnation, false));
      }
    }
    targetIncarnations.forEach(
        (target, incarnation) ->
            lines.add(
                line(
                    VmRole.TARGET,
                    target,
                    "search",
                    incarnation,
                    leavingTargets.contains(target))));
    targetsOfOtherZones.forEach(
        (target, zone) ->
            lines.add(
                new ListedVm(
                    VmRole.TARGET, target, "k", "search", zone, "127.0.0.1", 1, 2, 1, false)));
    return lines;
  }

  private static ListedVm line(
      VmRole role, String id, String service, long incarnation, boolean leaving) {
    return new ListedVm(role, id, "k", service, "tartu-a", "127.0.0.1", 1, 2, incarnation, leaving);
  }
}
