package org.sageladder.core.quarantine;

import java.util.Set;

/**
 * A crash of a target and the requests in flight on it; small enough to be sent to every entry VM.
 *
 * @param target target that crashed
 * @param incarnation its incarnation before the crash; together with the target it identifies the
 *     crash
 * @param atMillis wall-clock time of the reporter
 * @param fingerprints fingerprints of the requests in flight on the target, at most one per slot
 */
public record CrashReport(String target, long incarnation, long atMillis, Set<Long> fingerprints)
    implements QuarantineNotice {
  /** Copies the set, so that the report is immutable. */
  public CrashReport {
    fingerprints = Set.copyOf(fingerprints);
  }

  @Override
  public String key() {
    return "crash/" + target + '/' + incarnation;
  }
}
