package org.sageladder.bench.policy;

import java.util.Locale;

/** Prints lines and the closing line of a benchmark. */
final class Report {
  private Report() {}

  static void line(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /** Ends the process: 0 where the aim holds, else 1. */
  static void end(boolean holds, String format, Object... values) {
    line(format, values);
    System.exit(holds ? 0 : 1);
  }

  static boolean isFull(String[] arguments) {
    return arguments.length > 0 && arguments[0].equals("--full");
  }
}
