package org.sageladder.bench.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cost of the control plane during a measurement.
 *
 * @param seconds duration of the measurement
 * @param storeCalls calls to the platform by kind, summed over all processes
 * @param meanCpuPercent mean processor use of an entry VM, in percent of a core
 * @param maxCpuPercent processor use of the busiest entry VM, in percent of a core
 * @param meanBytesPerSecond mean rate of control bytes sent and received by an entry VM
 * @param maxBytesPerSecond the highest such rate of any entry VM
 * @param meanResidentMegabytes mean resident memory of an entry VM's process
 */
public record Sample(
    double seconds,
    Map<String, Long> storeCalls,
    double meanCpuPercent,
    double maxCpuPercent,
    double meanBytesPerSecond,
    double maxBytesPerSecond,
    double meanResidentMegabytes) {

  /** Calls of all kinds to the platform per second. */
  public double storeCallsPerSecond() {
    return storeCalls.values().stream().mapToLong(Long::longValue).sum() / seconds;
  }

  /** Measures the fleet for {@code millis} while {@code work} runs. */
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
    long startNanos = System.nanoTime();
    work.run(millis);
    long remainingMillis = millis - (System.nanoTime() - startNanos) / 1_000_000;
    Thread.sleep(Math.max(0, remainingMillis));
    double seconds = (System.nanoTime() - startNanos) / 1e9;
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

  /** Work that runs during a measurement. */
  @FunctionalInterface
  public interface Work {
    /** Runs for about {@code millis}. */
    void run(long millis) throws IOException, InterruptedException;

    /** Does nothing. */
    static Work none() {
      return millis -> {};
    }
  }
}
