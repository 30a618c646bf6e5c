package org.sageladder.entry.request;

import java.util.concurrent.ScheduledExecutorService;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.quarantine.CrashWatch;

/** A crash watch with an empty quarantine, for flows under test. */
final class NoCrashes {
  private NoCrashes() {}

  static CrashWatch watch(ScheduledExecutorService timers) {
    return CrashWatch.start(
        "kalnins-dauge",
        Quarantine.create(Quarantine.Limits.standard()),
        (host, request, details, body, connectTimeout, listener) -> () -> {},
        timers,
        TimeSource.system(),
        EventSink.none(),
        PeerMessages.none());
  }
}
