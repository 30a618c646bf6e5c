package org.sageladder.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.quarantine.RunSuccess;

/**
 * Tells the other entry VMs of runs that ended well, if they hold the requests back by the same
 * crash reports. A VM that holds a request back sees no such run itself.
 */
final class SuccessAnnouncer {
  /** VMs that saw such runs announce apart, so that most hear of the first and need not. */
  private static final long MAX_DELAY_MILLIS = 400;

  private final Loop loop;
  private final Quarantine quarantine;
  private final DoubleSupplier randomFraction;
  private final Consumer<RunSuccess> publisher;
  private final Map<Long, Long> announcedAtMillis = new HashMap<>();
  private final Set<Long> scheduled = new HashSet<>();

  SuccessAnnouncer(
      Loop loop,
      Quarantine quarantine,
      DoubleSupplier randomFraction,
      Consumer<RunSuccess> publisher) {
    this.loop = loop;
    this.quarantine = quarantine;
    this.randomFraction = randomFraction;
    this.publisher = publisher;
  }

  /** Handles an announcement of another VM. */
  void onAnnounced(RunSuccess success) {
    announcedAtMillis.merge(success.fingerprint(), success.atMillis(), Math::max);
  }

  /** Schedules announcements after crash reports or runs have changed the quarantine. */
  void onChange() {
    Set<Long> refuted = quarantine.refuted();
    announcedAtMillis.keySet().removeIf(known -> quarantine.lastCrashMillis(known) == 0);
    for (long fingerprint : refuted) {
      if (isNews(fingerprint) && scheduled.add(fingerprint)) {
        long delayMillis = Math.round(MAX_DELAY_MILLIS * randomFraction.getAsDouble());
        var unused = loop.schedule(delayMillis, () -> announce(fingerprint));
      }
    }
  }

  private boolean isNews(long fingerprint) {
    long announced = announcedAtMillis.getOrDefault(fingerprint, 0L);
    return quarantine.lastCrashMillis(fingerprint) > announced;
  }

  private void announce(long fingerprint) {
    scheduled.remove(fingerprint);
    if (!quarantine.refuted().contains(fingerprint) || !isNews(fingerprint)) {
      return;
    }
    quarantine
        .lastSuccess(fingerprint)
        .filter(success -> success.atMillis() >= quarantine.lastCrashMillis(fingerprint))
        .ifPresent(
            success -> {
              onAnnounced(success);
              publisher.accept(success);
            });
  }
}
