package org.sageladder.scenario;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sageladder.standin.platform.Ledger;

/** How many of the callers' first tries each entry VM served on a simulated day. */
final class FirstTries {
  /** First tries at one entry VM, by its IP address. */
  record VmTries(String vm, int count, int servedCount) {
    double servedFraction() {
      return (double) servedCount / count;
    }

    private VmTries plus(VmTries other) {
      return new VmTries(vm, count + other.count, servedCount + other.servedCount);
    }
  }

  private final Map<String, VmTries> byVm = new TreeMap<>();

  private FirstTries() {}

  static FirstTries of(SimulatedDay day) {
    FirstTries tries = new FirstTries();
    for (Ledger.FirstTry each : day.ledger().firstTries()) {
      int servedCount = day.ledger().isServed(each) ? 1 : 0;
      tries.byVm.merge(
          each.entryVmIp(), new VmTries(each.entryVmIp(), 1, servedCount), VmTries::plus);
    }
    return tries;
  }

  /** The entry VM that served the smallest part; empty without requests. */
  Optional<VmTries> worstVm() {
    return byVm.values().stream().min(Comparator.comparingDouble(VmTries::servedFraction));
  }

  /** The mean of the parts that the entry VMs served. */
  double meanServedFraction() {
    return byVm.values().stream().mapToDouble(VmTries::servedFraction).average().orElse(1);
  }
}
