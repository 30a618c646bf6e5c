package org.sageladder.bench.targetrate;

import java.util.List;
import java.util.Locale;
import org.sageladder.bench.targetrate.TargetRateModel.PolicySource;
import org.sageladder.bench.targetrate.TargetRateModel.Result;

/**
 * Shows for rates and numbers of entry VMs how often the rate of a target is exceeded and how much
 * of it is used, for few senders and for even parts.
 */
public final class TargetRateBench {
  private static final List<Integer> VM_COUNTS = List.of(3, 12, 95);
  private static final List<Double> RATES = List.of(0.3, 1.4, 5.0, 20.0, 200.0);

  private TargetRateBench() {}

  /** Runs the comparison; {@code --full} takes ten times as many seeds. */
  public static void main(String[] arguments) {
    int seedCount = List.of(arguments).contains("--full") ? 100 : 10;
    System.out.printf(
        Locale.ROOT,
        "%d seeds a row; largest window as a fraction of what is allowed, used fraction of the"
            + " rate, returned fraction of the load%n",
        seedCount);
    long exceeded = 0;
    for (boolean hasFaults : new boolean[] {false, true}) {
      for (int vmCount : VM_COUNTS) {
        for (double rate : RATES) {
          String setting =
              String.format(
                  Locale.ROOT, "%2d VMs %5.1f/s%s", vmCount, rate, hasFaults ? " faults" : "");
          exceeded += print(setting, "few senders", FewSenders::new, vmCount, rate, seedCount);
          print(
              setting,
              "even parts",
              (vm, target, random) -> new EvenParts(),
              vmCount,
              rate,
              seedCount);
        }
      }
    }
    System.out.printf(
        Locale.ROOT, "target-rate: %d runs of few senders exceed the rate (aim 0)%n", exceeded);
    System.exit(exceeded == 0 ? 0 : 1);
  }

  private static long print(
      String setting, String name, PolicySource policies, int vmCount, double rate, int seedCount) {
    double largest = 0;
    double used = 0;
    double returned = 0;
    long exceeded = 0;
    for (int seed = 1; seed <= seedCount; seed++) {
      Result result =
          TargetRateModel.run(policies, vmCount, rate, setting.endsWith("faults"), seed);
      largest = Math.max(largest, result.largestFraction());
      used += result.usedFraction() / seedCount;
      returned += result.returnedFraction() / seedCount;
      exceeded += result.largestFraction() > 1 ? 1 : 0;
    }
    System.out.printf(
        Locale.ROOT,
        "  %-22s %-12s exceeded in %3d, largest %.2f, used %.2f, returned %.2f%n",
        setting,
        name,
        exceeded,
        largest,
        used,
        returned);
    return exceeded;
  }
}
