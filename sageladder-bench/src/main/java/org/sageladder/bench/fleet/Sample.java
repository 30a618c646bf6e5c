package org.sageladder.bench.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What control cost over a stretch of time.
 *
 * @param seconds length of the stretch
 * @param storeCalls calls to the platform by kind, all processes together
 * @param cpuPercent share of one core an entry VM used, mean
 * @param cpuPercentMost the same of the busiest entry VM
 * @param bytesPerSecond control bytes in and out an entry VM, mean
 * @param bytesPerSecondMost the same of the entry VM with most
 * @param residentMegabytes resident memory of an entry VM's process, mean
 */
public record Sample(
    double seconds,
    Map<String, Long> storeCalls,
    double cpuPercent,
    double cpuPercentMost,
    double bytesPerSecond,
    double bytesPerSecondMost,
    double residentMegabytes) {

  /** All calls to the platform a second. */
  public double callsPerSecond() {
    return storeCalls.values().stream().mapToLong(Long::longValue).sum() / seconds;
  }

  /** Lets the fleet run for {@code millis} while {@code work} is done in it, and measures it. */
  public static Sample over(Fleet fleet, long millis, Work work)
      throws IOException, InterruptedException {
    Map<String, Long> callsBefore = fleet.store().counts();
    List<FleetVm> vms = fleet.vms();
    List<Long> cpu = new ArrayList<>();
    List<Double> bytes = new ArrayList<>();
    for (FleetVm vm : vms) {
      bytes.add(bytes(vm));
      cpu.add(vm.cpuMillis());
    }
    long start = System.nanoTime();
    work.run(millis);
    long left = millis - (System.nanoTime() - start) / 1_000_000;
    Thread.sleep(Math.max(0, left));
    double seconds = (System.nanoTime() - start) / 1e9;
    Map<String, Long> calls = new LinkedHashMap<>();
    fleet
        .store()
        .counts()
        .forEach((kind, n) -> calls.put(kind, n - callsBefore.getOrDefault(kind, 0L)));
    double cpuSum = 0;
    double cpuMost = 0;
    double bytesSum = 0;
    double bytesMost = 0;
    long resident = 0;
    for (int i = 0; i < vms.size(); i++) {
      double percent = (vms.get(i).cpuMillis() - cpu.get(i)) / seconds / 10;
      double rate = (bytes(vms.get(i)) - bytes.get(i)) / seconds;
      cpuSum += percent;
      cpuMost = Math.max(cpuMost, percent);
      bytesSum += rate;
      bytesMost = Math.max(bytesMost, rate);
      resident += vms.get(i).residentKilobytes();
    }
    int count = vms.size();
    return new Sample(
        seconds,
        calls,
        cpuSum / count,
        cpuMost,
        bytesSum / count,
        bytesMost,
        resident / 1024.0 / count);
  }

  private static double bytes(FleetVm vm) throws IOException {
    Map<String, Double> meters = vm.meters();
    return meters.getOrDefault("sageladder_control_bytes_in_total", 0.0)
        + meters.getOrDefault("sageladder_control_bytes_out_total", 0.0);
  }

  /** What is done while the measurement runs. */
  @FunctionalInterface
  public interface Work {
    /** Does it within about {@code millis}. */
    void run(long millis) throws IOException, InterruptedException;

    /** Nothing is done. */
    static Work none() {
      return millis -> {};
    }
  }
}
