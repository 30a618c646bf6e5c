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
 * @param meanCpuPercent share of one core an entry VM used, mean
 * @param maxCpuPercent the same of the busiest entry VM
 * @param meanBytesPerSecond control bytes in and out an entry VM, mean
 * @param maxBytesPerSecond the same of the entry VM with most
 * @param meanResidentMegabytes resident memory of an entry VM's process, mean
 */
public record Sample(
    double seconds,
    Map<String, Long> storeCalls,
    double meanCpuPercent,
    double maxCpuPercent,
    double meanBytesPerSecond,
    double maxBytesPerSecond,
    double meanResidentMegabytes) {

  /** All calls to the platform a second. */
  public double storeCallsPerSecond() {
    return storeCalls.values().stream().mapToLong(Long::longValue).sum() / seconds;
  }

  /** Lets the fleet run for {@code millis} while {@code work} is done in it, and measures it. */
  public static Sample measure(Fleet fleet, long millis, Work work)
      throws IOException, InterruptedException {
    Map<String, Long> callsBefore = fleet.store().counts();
    List<FleetVm> vms = fleet.vms();
    List<Long> cpuBefore = new ArrayList<>();
    List<Double> bytesBefore = new ArrayList<>();
    for (FleetVm vm : vms) {
      bytesBefore.add(controlBytes(vm));
      cpuBefore.add(vm.cpuMillis());
    }
    long start = System.nanoTime();
    work.run(millis);
    long remainingMillis = millis - (System.nanoTime() - start) / 1_000_000;
    Thread.sleep(Math.max(0, remainingMillis));
    double seconds = (System.nanoTime() - start) / 1e9;
    Map<String, Long> calls = new LinkedHashMap<>();
    fleet
        .store()
        .counts()
        .forEach((kind, n) -> calls.put(kind, n - callsBefore.getOrDefault(kind, 0L)));
    double cpuSum = 0;
    double cpuMax = 0;
    double bytesSum = 0;
    double bytesMax = 0;
    long resident = 0;
    for (int i = 0; i < vms.size(); i++) {
      double percent = (vms.get(i).cpuMillis() - cpuBefore.get(i)) / seconds / 10;
      double bytesPerSecond = (controlBytes(vms.get(i)) - bytesBefore.get(i)) / seconds;
      cpuSum += percent;
      cpuMax = Math.max(cpuMax, percent);
      bytesSum += bytesPerSecond;
      bytesMax = Math.max(bytesMax, bytesPerSecond);
      resident += vms.get(i).residentKilobytes();
    }
    int count = vms.size();
    return new Sample(
        seconds,
        calls,
        cpuSum / count,
        cpuMax,
        bytesSum / count,
        bytesMax,
        resident / 1024.0 / count);
  }

  private static double controlBytes(FleetVm vm) throws IOException {
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
