package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.steering.LookUpTable;
import org.sageladder.core.steering.Route;
import org.sageladder.core.steering.SteeringInputs;

/**
 * Callers, entry VMs and targets of one service on a virtual clock: real gates and tables, and
 * between them only delays, losses and cut links.
 */
final class World {
  private static final int LEAST_CLIENTS = 100;

  /** Callers for each gate of a region, so that no gate's load hangs on one or two of them. */
  private static final int CLIENTS_PER_GATE = 25;

  private static final int MOST_TRIES = 4;
  private static final long TTL_NANOS = Duration.ofSeconds(2).toNanos();

  /** Who picks the entry VM for a caller. */
  enum Policy {
    /** The table of a random entry VM of the caller's region. */
    STEERED,
    /** Any gate of the caller's region. */
    LOCAL,
    /** Any gate. */
    RANDOM,
    /** Idle slots by delayed readings, the first and obvious policy. */
    IDLE_SLOTS
  }

  private final Setup setup;
  private final Policy policy;
  private final Agenda agenda = new Agenda();
  private final Tally tally;
  private final Arrivals arrivals;
  private final Random random;
  private final Random service;
  private final List<EntryVm> vms = new ArrayList<>();
  private final Map<String, EntryVm> byName = new HashMap<>();
  private final Map<String, ZoneView> views = new HashMap<>();
  private final List<List<ZoneSummary>> history = new ArrayList<>();
  private final Client[][] clients;
  private final Oscillation oscillation;
  private IntPredicate cutRegion = region -> false;
  private long tries;

  private static final class Client {
    private List<EntryVm> route = List.of();
    private long expires;
  }

  World(Setup setup, Demand demand, Policy policy) {
    this.setup = setup;
    this.policy = policy;
    this.tally = new Tally(setup);
    this.arrivals = new Arrivals(setup, demand);
    this.random = new Random(setup.seed() + 1);
    this.service = new Random(setup.seed());
    int gates = setup.zonesPerRegion() * setup.vmsPerZone();
    int callers = Math.max(LEAST_CLIENTS, CLIENTS_PER_GATE * gates);
    this.clients = new Client[setup.regions()][callers];
    for (int region = 0; region < setup.regions(); region++) {
      makeRegion(region);
    }
    refreshViews();
    this.oscillation = new Oscillation(setup.regions(), vms.size());
  }

  private void makeRegion(int region) {
    for (int zone = 0; zone < setup.zonesPerRegion(); zone++) {
      for (int n = 0; n < setup.vmsPerZone(); n++) {
        EntryVm vm = new EntryVm(setup, agenda, region, "r" + region + "z" + zone, n);
        vms.add(vm);
        byName.put(vm.name, vm);
      }
    }
    for (int i = 0; i < clients[region].length; i++) {
      clients[region][i] = new Client();
    }
  }

  private void refreshViews() {
    Map<String, List<Member>> members = new HashMap<>();
    Map<String, List<Holding>> holdings = new HashMap<>();
    for (EntryVm vm : vms) {
      members.computeIfAbsent(vm.zone, zone -> new ArrayList<>()).add(vm.member());
      holdings.computeIfAbsent(vm.zone, zone -> new ArrayList<>()).addAll(vm.holdings);
    }
    for (String zone : members.keySet()) {
      views.put(
          zone,
          new ZoneView(
              zone,
              1,
              members.getOrDefault(zone, List.of()),
              holdings.getOrDefault(zone, List.of())));
    }
  }

  /** Regions that hear nothing of others, and are not heard, while the predicate says so. */
  void cut(IntPredicate regions) {
    cutRegion = regions;
  }

  void restart(int vm) {
    vms.get(vm).restart(setup, agenda);
  }

  Tally tally() {
    return tally;
  }

  Oscillation oscillation() {
    return oscillation;
  }

  /** Requests for a slot, those of callers refused elsewhere included. */
  long tries() {
    return tries;
  }

  long nowNanos() {
    return agenda.time().nanos();
  }

  int vmCount() {
    return vms.size();
  }

  static Tally run(Setup setup, Demand demand, Policy policy, int seconds) {
    World world = new World(setup, demand, policy);
    world.run(seconds);
    return world.tally();
  }

  void run(int seconds) {
    int first = (int) Math.round(agenda.seconds() * Arrivals.TICKS);
    for (int tick = first; tick < first + seconds * Arrivals.TICKS; tick++) {
      if (tick % Arrivals.TICKS == 0) {
        everySecond();
      }
      for (int region : arrivals.of(tick)) {
        arrive(region);
      }
      agenda.advance(Arrivals.TICK);
    }
  }

  private void everySecond() {
    List<ZoneSummary> now = new ArrayList<>();
    vms.forEach(vm -> now.add(vm.summary(agenda.time().wallMillis())));
    history.add(now);
    for (int i = 0; i < vms.size(); i++) {
      EntryVm vm = vms.get(i);
      boolean hearsTheSame =
          i > 0 && vms.get(i - 1).region == vm.region && setup.readingLoss() == 0;
      vm.table = hearsTheSame ? vms.get(i - 1).table : nextTable(vm);
      oscillation.sample(i, remoteParts(vm));
    }
  }

  private LookUpTable nextTable(EntryVm vm) {
    ClusterState state =
        new ClusterState(Map.of(Setup.CUSTOMER, setup.contract()), views, heardBy(vm));
    return LookUpTable.build(state, SteeringInputs.after(vm.table, agenda.time().wallMillis()));
  }

  private double[] remoteParts(EntryVm vm) {
    double[] remote = new double[setup.regions()];
    int zones = setup.regions() * setup.zonesPerRegion();
    for (int region = 0; region < setup.regions(); region++) {
      for (int zone = 0; zone < zones; zone++) {
        double part =
            policy == Policy.IDLE_SLOTS
                ? idlePart(vm, zone)
                : vm.table.trafficFraction(Setup.CUSTOMER, Setup.SERVICE, region, zone);
        remote[region] += zone / setup.zonesPerRegion() == region ? 0 : part;
      }
    }
    return remote;
  }

  /** The latest summary of each entry VM that has reached {@code listener}. */
  private List<ZoneSummary> heardBy(EntryVm listener) {
    List<ZoneSummary> heard = new ArrayList<>();
    int delaySeconds = (int) Math.ceil(setup.readingDelayMillis() / 1000.0);
    for (int i = 0; i < vms.size(); i++) {
      EntryVm teller = vms.get(i);
      int delay = teller.region == listener.region ? 0 : delaySeconds;
      ZoneSummary latest = latest(listener, teller, i, history.size() - 1 - delay);
      if (latest != null) {
        heard.add(latest);
      }
    }
    return heard;
  }

  private final Map<String, ZoneSummary> lastHeard = new HashMap<>();

  private @Nullable ZoneSummary latest(EntryVm listener, EntryVm teller, int index, int at) {
    String link = listener.name + ' ' + teller.name;
    boolean apart = listener.region != teller.region;
    boolean cut = apart && (cutRegion.test(listener.region) || cutRegion.test(teller.region));
    boolean arrives = at >= 0 && !cut && random.nextDouble() >= setup.readingLoss();
    if (arrives) {
      lastHeard.put(link, history.get(at).get(index));
    }
    return lastHeard.get(link);
  }

  private void arrive(int region) {
    tally.offered();
    Client client = clients[region][random.nextInt(clients[region].length)];
    if (client.route.isEmpty() || agenda.time().nanos() >= client.expires) {
      client.route = choose(region);
      client.expires = agenda.time().nanos() + TTL_NANOS;
    }
    long deadline = agenda.time().nanos() + Duration.ofSeconds(5).toNanos();
    send(client.route, 0, region, deadline);
  }

  /** Asks the entry VM at {@code index}; a caller that is told "not run" goes on to the next. */
  private void send(List<EntryVm> route, int index, int region, long deadline) {
    if (index >= Math.min(route.size(), MOST_TRIES)) {
      return;
    }
    EntryVm vm = route.get(index);
    if (vm.region != region && (cutRegion.test(region) || cutRegion.test(vm.region))) {
      send(route, index + 1, region, deadline);
      return;
    }
    tries++;
    vm.gate.request(
        new AdmissionRequest("", deadline, "", ""),
        admission -> {
          if (admission instanceof Admission.Admitted yes) {
            admitted(yes.slot(), vm, region);
          } else {
            send(route, index + 1, region, deadline);
          }
        });
  }

  private void admitted(Admission.Slot slot, EntryVm vm, int home) {
    String target = slot.target().target();
    tally.admitted(target, "r" + vm.region, "r" + home, agenda.time().nanos());
    agenda.runAfter(
        Arrivals.serviceTime(setup, service),
        () -> {
          tally.answered(target);
          slot.release(Admission.Completion.ANSWERED);
        });
  }

  private EntryVm randomVm(int region) {
    int perRegion = setup.zonesPerRegion() * setup.vmsPerZone();
    return vms.get(region * perRegion + random.nextInt(perRegion));
  }

  private List<EntryVm> choose(int region) {
    return switch (policy) {
      case LOCAL -> several(() -> randomVm(region));
      case RANDOM -> several(() -> vms.get(random.nextInt(vms.size())));
      case IDLE_SLOTS -> several(() -> idlest(randomVm(region)));
      case STEERED -> steered(region);
    };
  }

  /** As many entry VMs as a steered answer names, so that all policies get as many tries. */
  private static List<EntryVm> several(Supplier<EntryVm> draw) {
    return Stream.generate(draw).limit(MOST_TRIES).toList();
  }

  private List<EntryVm> steered(int region) {
    LookUpTable table = randomVm(region).table;
    Route route = table.lookUp(Setup.CUSTOMER, Setup.SERVICE, region, random.nextLong());
    return route == null
        ? List.of()
        : route.entries().stream().map(member -> byName.get(member.vm())).toList();
  }

  private EntryVm idlest(EntryVm asked) {
    double point = random.nextDouble();
    int zones = setup.regions() * setup.zonesPerRegion();
    for (int zone = 0; zone < zones; zone++) {
      point -= idlePart(asked, zone);
      if (point < 0) {
        return vms.get(zone * setup.vmsPerZone() + random.nextInt(setup.vmsPerZone()));
      }
    }
    return randomVm(asked.region);
  }

  private double idlePart(EntryVm asked, int zone) {
    double idle = 0;
    double all = 0;
    for (ZoneSummary summary : heardBy(asked)) {
      double free = Math.max(0, summary.slots() - summary.busy() - summary.queued());
      all += free;
      idle += summary.zone().equals(vms.get(zone * setup.vmsPerZone()).zone) ? free : 0;
    }
    return all == 0 ? 0 : idle / all;
  }
}
