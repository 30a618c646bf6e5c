package org.sageladder.core.quarantine;

/** What one entry VM tells the others about requests that may crash targets. */
public sealed interface QuarantineNotice permits CrashReport, RunSuccess {
  /** Identifies what the notice is about; a later notice with the same key replaces it. */
  String key();
}
