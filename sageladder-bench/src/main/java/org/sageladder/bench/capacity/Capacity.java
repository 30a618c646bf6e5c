package org.sageladder.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures every slope of docs/CAPACITY.md and prints its fit, its error and its value at the
 * target size.
 */
public final class Capacity {
  private static final double AIM_ERROR = 0.25;

  private Capacity() {}

  /**
   * Code slopes always; with {@code --full} also those of control and of failures, which take four
   * minutes; with {@code --control} or {@code --failures} these alone.
   */
  public static void main(String[] args) throws Exception {
    if (args.length > 0 && args[0].equals("--failures")) {
      failures();
      return;
    }
    boolean full = args.length > 0 && args[0].equals("--full");
    boolean control = args.length > 0 && args[0].equals("--control");
    List<Line> lines = new ArrayList<>();
    if (!control) {
      lines.addAll(CodeSlopes.measure());
      lines.addAll(ExchangeSlopes.measure());
    }
    if (full || control) {
      lines.addAll(ControlSlopes.measure());
    }
    double worst = 0;
    String where = "";
    for (Line line : lines) {
      System.out.println(line.describe());
      if (line.slope().error() > worst) {
        worst = line.slope().error();
        where = line.name();
      }
    }
    if (full) {
      failures();
    }
    System.out.printf(
        Locale.ROOT,
        "capacity: %.1f %% largest error of a fit, of '%s' (aim at most %.0f %%)%n",
        100 * worst,
        where,
        100 * AIM_ERROR);
    System.exit(worst <= AIM_ERROR ? 0 : 1);
  }

  /**
   * Differences of traffic that flows anyway: their errors are large, and the aim leaves them out.
   */
  private static void failures() throws Exception {
    FailureCosts.measure().forEach(line -> System.out.println(line.describe()));
  }
}
