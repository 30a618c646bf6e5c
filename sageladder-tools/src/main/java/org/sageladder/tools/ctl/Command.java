package org.sageladder.tools.ctl;

import org.apache.commons.cli.Options;
import org.sageladder.platform.settings.ExitCode;

/**
 * One command of {@code sageladderctl}.
 *
 * @param operands synopsis of the operands, as shown by help
 * @param minOperands minimum number of operands
 * @param maxOperands maximum number of operands
 */
record Command(
    String name,
    Group group,
    String operands,
    int minOperands,
    int maxOperands,
    String summary,
    Options options,
    Body body) {

  /** Heading under which help lists a command. */
  enum Group {
    CONTRACTS("Contracts"),
    SYSTEM("The running system");

    private final String title;

    Group(String title) {
      this.title = title;
    }

    String title() {
      return title;
    }
  }

  /** The implementation of a command. */
  @FunctionalInterface
  interface Body {
    /** Runs the command; usage errors and failures are thrown as {@link CtlException}. */
    ExitCode run(Invocation invocation) throws CtlException;
  }
}
