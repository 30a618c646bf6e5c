package org.sageladder.platform.settings;

/** Exit codes of sageladder's programs; {@code docs/CONFIGURATION.md} has the same table. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command ran; a check failed, or the compared items differ. */
  VERDICT_FAILED(1),
  /** The command line is invalid. */
  USAGE(64),
  /** A contract is invalid. */
  BAD_CONTRACT(65),
  /** Something named on the command line does not exist. */
  NOT_FOUND(66),
  /** A required service did not respond; nothing took effect. */
  UNAVAILABLE(69),
  /** An internal error of sageladder. */
  INTERNAL(70),
  /** The change conflicts with an earlier one of another operator; nothing took effect. */
  CONFLICT(73),
  /** The change may or may not have taken effect; check before retrying. */
  OUTCOME_UNKNOWN(75),
  /** A settings file is invalid; nothing was started. */
  BAD_SETTINGS(78);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** Returns the exit status of the process. */
  public int status() {
    return status;
  }
}
