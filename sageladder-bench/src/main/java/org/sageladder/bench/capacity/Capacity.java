package org.sageladder.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures all slopes of docs/CAPACITY.md and prints for each the fit, its error and the value at
 * the target size.
 */
public final class Capacity {
  private static final double MAX_FIT_ERROR = 0.25;

  private Capacity() {}

  /**
   * Measures the slopes of single components; with {@code --full} also those of the control plane
   * and of failures, which take four minutes; with {@code --control} or {@code --failures} only
   * these.
   */
  public static void main(String[] args) throws Exception {
    if (args.length > 0 && args[0].equals("--failures")) {
      printFailureCosts();
      return;
    }
    boolean full = args.length > 0 && args[0].equals("--full");
    boolean control = args.length > 0 && args[0].equals("--control");
    List<SlopeResult> results = new ArrayList<>();
    if (!control) {
      results.addAll(CodeSlopes.measure());
      results.addAll(ExchangeSlopes.measure());
    }
    if (full || control) {
      results.addAll(ControlSlopes.measure());
    }
    double maxError = 0;
    String maxErrorName = "";
    for (SlopeResult result : results) {
      System.out.println(result.describe());
      if (result.slope().relativeError() > maxError) {
        maxError = result.slope().relativeError();
        maxErrorName = result.name();
      }
    }
    if (full) {
      printFailureCosts();
    }
    System.out.printf(
        Locale.ROOT,
        "capacity: %.1f %% largest error of a fit, of '%s' (aim at most %.0f %%)%n",
        100 * maxError,
        maxErrorName,
        100 * MAX_FIT_ERROR);
    System.exit(maxError <= MAX_FIT_ERROR ? 0 : 1);
  }

  /**
   * Failure costs are small differences in continuous traffic and have large errors, so the limit
   * on the fit error does not apply to them.
   */
  private static void printFailureCosts() throws Exception {
    FailureCosts.measure().forEach(line -> System.out.println(line.describe()));
  }
}
