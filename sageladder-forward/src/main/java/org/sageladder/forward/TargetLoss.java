package org.sageladder.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.quarantine.CrashReport;

/**
 * Requests that were lost at one incarnation of a target, until it is known whether it crashed and
 * afterwards, while their outcomes arrive.
 */
final class TargetLoss {
  /** Maximum number of requests that the log line of a crash names. */
  private static final int MAX_DESCRIBED_REQUESTS = 8;

  private final TargetFacts target;
  private final long atMillis;
  private final Set<Long> lost = new HashSet<>();
  private final Set<Long> unanswered = new HashSet<>();
  private final List<String> descriptions = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private Set<Long> published = Set.of();
  private boolean isCrash;

  TargetLoss(TargetFacts target, long atMillis) {
    this.target = target;
    this.atMillis = atMillis;
  }

  TargetFacts target() {
    return target;
  }

  /** Time of the first loss, in milliseconds of the wall clock. */
  long atMillis() {
    return atMillis;
  }

  /**
   * Adds a lost request.
   *
   * @param request id and caller of the request, for the log
   */
  void add(RequestFingerprint fingerprint, String request) {
    lost.add(fingerprint.value());
    if (descriptions.size() < MAX_DESCRIBED_REQUESTS) {
      descriptions.add(request + " with fingerprint " + fingerprint.describe());
    }
  }

  /** Runs {@code task} once it is known whether the target crashed, at once if it is known. */
  void whenDecided(Runnable task) {
    if (isCrash) {
      task.run();
    } else {
      waiting.add(task);
    }
  }

  /** The target crashed. */
  void confirmCrash() {
    isCrash = true;
  }

  boolean isCrash() {
    return isCrash;
  }

  /** Runs the tasks that wait for the decision. */
  void runWaiting() {
    List<Runnable> tasks = List.copyOf(waiting);
    waiting.clear();
    tasks.forEach(Runnable::run);
  }

  /** Records that a lost request ended without an answer of any target. */
  void addUnanswered(long fingerprint) {
    if (lost.contains(fingerprint)) {
      unanswered.add(fingerprint);
    }
  }

  /** The crash with all requests that were lost. */
  CrashReport report() {
    return reportOf(lost);
  }

  /**
   * True if requests ended without an answer that other entry VMs have not been told of; they are
   * told with the next {@link #reportToPublish}.
   */
  boolean hasUnpublished() {
    return isCrash && !unanswered.equals(published);
  }

  /** The crash with the requests that ended without an answer. */
  CrashReport reportToPublish() {
    published = Set.copyOf(unanswered);
    return reportOf(published);
  }

  private CrashReport reportOf(Set<Long> fingerprints) {
    return new CrashReport(
        target.id(), target.incarnation().startedAtMillis(), atMillis, fingerprints);
  }

  /** Describes the lost requests in a log line. */
  String describe() {
    return lost.size() + " requests lost: " + String.join("; ", descriptions);
  }
}
