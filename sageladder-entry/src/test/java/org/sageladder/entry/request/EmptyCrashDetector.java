package org.sageladder.entry.request;

import java.util.concurrent.ScheduledExecutorService;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.quarantine.CrashDetector;

/** A crash detector with an empty quarantine, for flows under test. */
final class EmptyCrashDetector {
  private EmptyCrashDetector() {}

  static CrashDetector create(ScheduledExecutorService timers) {
    return CrashDetector.start(
        "kalnins-dauge",
        Quarantine.create(Quarantine.Limits.standard()),
        (host, request, details, body, connectTimeout, listener) -> () -> {},
        timers,
        TimeSource.system(),
        EventSink.none(),
        PeerMessages.none());
  }
}
