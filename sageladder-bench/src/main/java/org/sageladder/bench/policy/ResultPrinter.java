package org.sageladder.bench.policy;

import java.util.Locale;

/** Prints the output of a benchmark. */
final class ResultPrinter {
  private ResultPrinter() {}

  static void printLine(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /** Prints the last line and exits with code 0 if the aim is met, else 1. */
  static void printResultAndExit(boolean isAimMet, String format, Object... values) {
    printLine(format, values);
    System.exit(isAimMet ? 0 : 1);
  }

  static boolean isFullRun(String[] arguments) {
    return arguments.length > 0 && arguments[0].equals("--full");
  }
}
