package org.sageladder.core.platform;

/** Role of a listed VM. */
public enum VmRole {
  /** Runs the entry daemon. */
  ENTRY,
  /** Runs one service of one customer, and no part of sageladder. */
  TARGET
}
