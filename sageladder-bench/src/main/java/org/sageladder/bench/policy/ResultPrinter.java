package org.sageladder.bench.policy;

import java.util.Locale;

/** Prints lines and the closing line of a benchmark. */
final class ResultPrinter {
  private ResultPrinter() {}

  static void printLine(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /** Ends the process: 0 where the aim holds, else 1. */
  static void printResultAndExit(boolean isAimMet, String format, Object... values) {
    printLine(format, values);
    System.exit(isAimMet ? 0 : 1);
  }

  static boolean isFullRun(String[] arguments) {
    return arguments.length > 0 && arguments[0].equals("--full");
  }
}
