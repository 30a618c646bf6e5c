package org.sageladder.core.quota;

/** Change in how a VM enforces the quota of a workspace, for logs and metrics. */
public enum QuotaChange {
  /** This VM, as coordinator, requires a token for each request from now on. */
  TOKENS_REQUIRED,
  /** This VM, as coordinator, no longer requires tokens. */
  TOKENS_NOT_REQUIRED,
  /** The coordinator did not answer, and this VM reports to the next one in order. */
  COORDINATOR_UNREACHABLE,
  /** No coordinator answers, and this VM decides alone. */
  ISOLATED
}
