package org.sageladder.tools.ctl;

import org.apache.commons.cli.Options;
import org.sageladder.platform.settings.ExitCode;

/**
 * One command of {@code sageladderctl}.
 *
 * @param operands what follows the command, as help shows it
 * @param minOperands fewest operands it takes
 * @param maxOperands most operands it takes
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

  /** Heading that help lists a command under. */
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

  /** What a command does. */
  @FunctionalInterface
  interface Body {
    /** Runs the command; mistakes of the operator are thrown as {@link CtlException}. */
    ExitCode run(Invocation invocation) throws CtlException;
  }
}
