package org.sageladder.core.quarantine;

import java.util.Set;

/**
 * A target's crash and what ran on it then; small enough to be told to every entry VM.
 *
 * @param target target that crashed
 * @param incarnation its incarnation before the crash; with the target it identifies the crash
 * @param atMillis wall clock of the reporter
 * @param fingerprints of the requests that were in flight there, at most the target's slots
 */
public record CrashReport(String target, long incarnation, long atMillis, Set<Long> fingerprints) {
  /** Copies the set, so that the report cannot change. */
  public CrashReport {
    fingerprints = Set.copyOf(fingerprints);
  }
}
