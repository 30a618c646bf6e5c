package org.sageladder.core.platform;

/** What a listed VM is for. */
public enum VmRole {
  /** Runs the entry daemon. */
  ENTRY,
  /** Runs one service of one customer; nothing of sageladder runs there. */
  TARGET
}
