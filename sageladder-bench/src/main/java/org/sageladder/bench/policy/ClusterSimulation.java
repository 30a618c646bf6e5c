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
 * Simulates the callers, entry VMs and targets of one service on a virtual clock. Gates and look-up
 * tables are the real classes; the network between them is reduced to delays, losses and
 * partitions.
 */
final class ClusterSimulation {
  private static final int MIN_CLIENTS_PER_REGION = 100;

  /**
   * Callers for each gate of a region, enough that one or two callers do not dominate a gate's
   * load.
   */
  private static final int CLIENTS_PER_GATE = 25;

  private static final int MAX_ATTEMPTS = 4;
  private static final long ROUTE_TTL_NANOS = Duration.ofSeconds(2).toNanos();

  /** How the entry VM for a caller is selected. */
  enum Policy {
    /** By the look-up table of a random entry VM in the caller's region. */
    STEERED,
    /** Random entry VM in the caller's region. */
    LOCAL,
    /** Random entry VM in any region. */
    RANDOM,
    /** Random entry VM, weighted by the idle slots in delayed zone summaries. */
    IDLE_SLOTS
  }

  private final Setup setup;
  private final Policy policy;
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final AdmissionLog admissionLog;
  private final Arrivals arrivals;
  private final Random random;
  private final Random serviceTimeRandom;
  private final List<EntryVm> vms = new ArrayList<>();
  private final Map<String, EntryVm> vmsByName = new HashMap<>();
  private final Map<String, ZoneView> views = new HashMap<>();
  private final List<List<ZoneSummary>> summaryHistory = new ArrayList<>();
  private final Client[][] clients;
  private final OscillationCounter oscillationCounter;
  private IntPredicate isRegionCut = region -> false;
  private long slotRequestCount;

  private static final class Client {
    private List<EntryVm> route = List.of();
    private long routeExpiresAtNanos;
  }

  ClusterSimulation(Setup setup, Demand demand, Policy policy) {
    this.setup = setup;
    this.policy = policy;
    this.admissionLog = new AdmissionLog(setup);
    this.arrivals = new Arrivals(setup, demand);
    this.random = new Random(setup.seed() + 1);
    this.serviceTimeRandom = new Random(setup.seed());
    int gates = setup.zonesPerRegion() * setup.vmsPerZone();
    int clientsPerRegion = Math.max(MIN_CLIENTS_PER_REGION, CLIENTS_PER_GATE * gates);
    this.clients = new Client[setup.regionCount()][clientsPerRegion];
    for (int region = 0; region < setup.regionCount(); region++) {
      createRegion(region);
    }
    refreshViews();
    this.oscillationCounter = new OscillationCounter(setup.regionCount(), vms.size());
  }

  private void createRegion(int region) {
    for (int zone = 0; zone < setup.zonesPerRegion(); zone++) {
      for (int n = 0; n < setup.vmsPerZone(); n++) {
        EntryVm vm = new EntryVm(setup, scheduler, region, "r" + region + "z" + zone, n);
        vms.add(vm);
        vmsByName.put(vm.name, vm);
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

  /** Partitions the regions for which the predicate is true from all other regions. */
  void cutRegions(IntPredicate isCut) {
    isRegionCut = isCut;
  }

  void restartVm(int vm) {
    vms.get(vm).restart(setup, scheduler);
  }

  AdmissionLog admissionLog() {
    return admissionLog;
  }

  OscillationCounter oscillationCounter() {
    return oscillationCounter;
  }

  /** Slot requests so far, including those of callers that another entry VM refused. */
  long slotRequestCount() {
    return slotRequestCount;
  }

  long nowNanos() {
    return scheduler.time().nanos();
  }

  int vmCount() {
    return vms.size();
  }

  static AdmissionLog run(Setup setup, Demand demand, Policy policy, int seconds) {
    ClusterSimulation simulation = new ClusterSimulation(setup, demand, policy);
    simulation.run(seconds);
    return simulation.admissionLog();
  }

  void run(int seconds) {
    int firstTick = (int) Math.round(scheduler.seconds() * Arrivals.TICKS_PER_SECOND);
    for (int tick = firstTick; tick < firstTick + seconds * Arrivals.TICKS_PER_SECOND; tick++) {
      if (tick % Arrivals.TICKS_PER_SECOND == 0) {
        exchangeSummaries();
      }
      for (int region : arrivals.drawCallerRegions(tick)) {
        sendNewRequest(region);
      }
      scheduler.advance(Arrivals.TICK);
    }
  }

  private void exchangeSummaries() {
    List<ZoneSummary> summaries = new ArrayList<>();
    vms.forEach(vm -> summaries.add(vm.summary(scheduler.time().wallMillis())));
    summaryHistory.add(summaries);
    for (int i = 0; i < vms.size(); i++) {
      EntryVm vm = vms.get(i);
      boolean hasSameSummaries =
          i > 0 && vms.get(i - 1).region == vm.region && setup.summaryLossProbability() == 0;
      vm.table = hasSameSummaries ? vms.get(i - 1).table : rebuildTable(vm);
      oscillationCounter.recordSample(i, crossRegionFractions(vm));
    }
  }

  private LookUpTable rebuildTable(EntryVm vm) {
    ClusterState state =
        new ClusterState(Map.of(Setup.CUSTOMER, setup.contract()), views, summariesReceivedBy(vm));
    return LookUpTable.build(state, SteeringInputs.after(vm.table, scheduler.time().wallMillis()));
  }

  private double[] crossRegionFractions(EntryVm vm) {
    double[] fractions = new double[setup.regionCount()];
    int zones = setup.regionCount() * setup.zonesPerRegion();
    for (int region = 0; region < setup.regionCount(); region++) {
      for (int zone = 0; zone < zones; zone++) {
        double fraction =
            policy == Policy.IDLE_SLOTS
                ? idleFraction(vm, zone)
                : vm.table.trafficFraction(Setup.CUSTOMER, Setup.SERVICE, region, zone);
        fractions[region] += zone / setup.zonesPerRegion() == region ? 0 : fraction;
      }
    }
    return fractions;
  }

  /** The latest summary of each entry VM that {@code receiver} has received. */
  private List<ZoneSummary> summariesReceivedBy(EntryVm receiver) {
    List<ZoneSummary> received = new ArrayList<>();
    int delaySeconds = (int) Math.ceil(setup.summaryDelayMillis() / 1000.0);
    for (int i = 0; i < vms.size(); i++) {
      EntryVm sender = vms.get(i);
      int delay = sender.region == receiver.region ? 0 : delaySeconds;
      ZoneSummary latest = latestReceived(receiver, sender, i, summaryHistory.size() - 1 - delay);
      if (latest != null) {
        received.add(latest);
      }
    }
    return received;
  }

  private final Map<String, ZoneSummary> lastReceived = new HashMap<>();

  private @Nullable ZoneSummary latestReceived(
      EntryVm receiver, EntryVm sender, int index, int secondIndex) {
    String link = receiver.name + ' ' + sender.name;
    boolean isCrossRegion = receiver.region != sender.region;
    boolean isCut =
        isCrossRegion && (isRegionCut.test(receiver.region) || isRegionCut.test(sender.region));
    boolean isDelivered =
        secondIndex >= 0 && !isCut && random.nextDouble() >= setup.summaryLossProbability();
    if (isDelivered) {
      lastReceived.put(link, summaryHistory.get(secondIndex).get(index));
    }
    return lastReceived.get(link);
  }

  private void sendNewRequest(int region) {
    admissionLog.recordOffered();
    Client client = clients[region][random.nextInt(clients[region].length)];
    if (client.route.isEmpty() || scheduler.time().nanos() >= client.routeExpiresAtNanos) {
      client.route = chooseRoute(region);
      client.routeExpiresAtNanos = scheduler.time().nanos() + ROUTE_TTL_NANOS;
    }
    long deadline = scheduler.time().nanos() + Duration.ofSeconds(5).toNanos();
    send(client.route, 0, region, deadline);
  }

  /**
   * Sends the request to the entry VM at {@code index} and, if it is not admitted, to the next one.
   */
  private void send(List<EntryVm> route, int index, int region, long deadline) {
    if (index >= Math.min(route.size(), MAX_ATTEMPTS)) {
      return;
    }
    EntryVm vm = route.get(index);
    if (vm.region != region && (isRegionCut.test(region) || isRegionCut.test(vm.region))) {
      send(route, index + 1, region, deadline);
      return;
    }
    slotRequestCount++;
    vm.gate.request(
        new AdmissionRequest("", deadline, "", ""),
        admission -> {
          if (admission instanceof Admission.Admitted admitted) {
            onAdmitted(admitted.slot(), vm, region);
          } else {
            send(route, index + 1, region, deadline);
          }
        });
  }

  private void onAdmitted(Admission.Slot slot, EntryVm vm, int callerRegion) {
    String target = slot.target().target();
    admissionLog.recordAdmitted(
        target, "r" + vm.region, "r" + callerRegion, scheduler.time().nanos());
    scheduler.runAfter(
        Arrivals.drawServiceTime(setup, serviceTimeRandom),
        () -> {
          admissionLog.recordAnswered(target);
          slot.release(Admission.Completion.ANSWERED);
        });
  }

  private EntryVm randomVm(int region) {
    int perRegion = setup.zonesPerRegion() * setup.vmsPerZone();
    return vms.get(region * perRegion + random.nextInt(perRegion));
  }

  private List<EntryVm> chooseRoute(int region) {
    return switch (policy) {
      case LOCAL -> drawVms(() -> randomVm(region));
      case RANDOM -> drawVms(() -> vms.get(random.nextInt(vms.size())));
      case IDLE_SLOTS -> drawVms(() -> drawByIdleSlots(randomVm(region)));
      case STEERED -> steeredRoute(region);
    };
  }

  /**
   * Draws as many entry VMs as a steered route has, so that all policies have the same number of
   * attempts.
   */
  private static List<EntryVm> drawVms(Supplier<EntryVm> draw) {
    return Stream.generate(draw).limit(MAX_ATTEMPTS).toList();
  }

  private List<EntryVm> steeredRoute(int region) {
    LookUpTable table = randomVm(region).table;
    Route route = table.lookUp(Setup.CUSTOMER, Setup.SERVICE, region, random.nextLong());
    return route == null
        ? List.of()
        : route.entries().stream().map(member -> vmsByName.get(member.vm())).toList();
  }

  private EntryVm drawByIdleSlots(EntryVm lookUpVm) {
    double remainder = random.nextDouble();
    int zones = setup.regionCount() * setup.zonesPerRegion();
    for (int zone = 0; zone < zones; zone++) {
      remainder -= idleFraction(lookUpVm, zone);
      if (remainder < 0) {
        return vms.get(zone * setup.vmsPerZone() + random.nextInt(setup.vmsPerZone()));
      }
    }
    return randomVm(lookUpVm.region);
  }

  private double idleFraction(EntryVm lookUpVm, int zone) {
    double idleInZone = 0;
    double idleTotal = 0;
    for (ZoneSummary summary : summariesReceivedBy(lookUpVm)) {
      double idleSlots = Math.max(0, summary.slots() - summary.busy() - summary.queued());
      idleTotal += idleSlots;
      idleInZone += summary.zone().equals(vms.get(zone * setup.vmsPerZone()).zone) ? idleSlots : 0;
    }
    return idleTotal == 0 ? 0 : idleInZone / idleTotal;
  }
}
