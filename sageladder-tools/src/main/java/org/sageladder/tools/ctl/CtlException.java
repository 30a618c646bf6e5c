package org.sageladder.tools.ctl;

import org.sageladder.platform.settings.ExitCode;

/** Aborts a command with a one-line error message and an exit code. */
final class CtlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CtlException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
