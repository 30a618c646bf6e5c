package org.sageladder.platform.settings;

/** How sageladder's programs end; {@code docs/CONFIGURATION.md} has the same table. */
public enum ExitCode {
  /** All was done. */
  OK(0),
  /** It ran, and the verdict is that something does not hold, or that two things differ. */
  VERDICT_FAILED(1),
  /** The command line is wrong. */
  USAGE(64),
  /** A contract is wrong. */
  BAD_CONTRACT(65),
  /** Something named on the command line does not exist. */
  NOT_FOUND(66),
  /** A service that is needed gave no answer; nothing took effect. */
  UNAVAILABLE(69),
  /** A fault in sageladder itself. */
  INTERNAL(70),
  /** Another operator's change came first; nothing took effect. */
  CONFLICT(73),
  /** The change may or may not have taken effect; look before trying again. */
  OUTCOME_UNKNOWN(75),
  /** A settings file is wrong; nothing was started. */
  BAD_SETTINGS(78);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** The process's exit status. */
  public int status() {
    return status;
  }
}
