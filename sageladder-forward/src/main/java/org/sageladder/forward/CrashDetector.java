package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.Quarantine;

/**
 * Notices targets that crashed, and holds back requests that crash one target after the other.
 *
 * <p>A request is lost and its target accepts no connection a moment later: then the target has
 * crashed, and what was lost there at that time is suspect. A request that was in flight at two
 * crashes, and at half of all crashes about then, is refused instead of crashing a third target.
 * The other entry VMs are told of a crash where one of them might meet the request next: it was
 * suspect before, or its caller is not answered by a second target here.
 */
final class CrashDetector {
  /**
   * A target that has crashed refuses connections by now; one that only cut a connection does not.
   */
  private static final long PROBE_DELAY_MILLIS = 60;

  private static final int PROBE_TIMEOUT_MILLIS = 500;

  private record LostRequests(Set<Long> fingerprints, boolean hasNonIdempotent) {}

  private final Loop loop;
  private final EventSink log;
  private final Quarantine quarantine = Quarantine.create(Quarantine.Limits.standard());
  private final Map<TargetIncarnation, LostRequests> lostRequestsByTarget = new HashMap<>();
  private final Set<Long> knownSuspects = new HashSet<>();
  private Consumer<CrashReport> publisher = report -> {};

  CrashDetector(Loop loop, EventSink log) {
    this.loop = loop;
    this.log = log;
  }

  /** What is called with crashes that other entry VMs are to know of. */
  void publishTo(Consumer<CrashReport> teller) {
    publisher = teller;
  }

  /** Takes a crash that another entry VM has told. */
  void onCrashReport(CrashReport report) {
    knownSuspects.addAll(report.fingerprints());
    quarantine.add(report);
  }

  /** Milliseconds for which a request is held back; 0 where it is not. */
  long quarantineMillis(LongSupplier fingerprint) {
    if (quarantine.isEmpty()) {
      return 0;
    }
    return quarantine.remainingMillis(fingerprint.getAsLong(), loop.wallMillis());
  }

  /** A request's connection ended before any byte of an answer. */
  void onRequestLost(TargetFacts target, long fingerprint, boolean once) {
    LostRequests known = lostRequestsByTarget.get(target.incarnation());
    if (known == null) {
      known = new LostRequests(new HashSet<>(), once);
      var unused = loop.schedule(PROBE_DELAY_MILLIS, () -> probe(target));
    }
    known.fingerprints().add(fingerprint);
    lostRequestsByTarget.put(
        target.incarnation(),
        new LostRequests(known.fingerprints(), known.hasNonIdempotent() || once));
  }

  private void probe(TargetFacts target) {
    loop.connect(
            target.host(), target.port(), PROBE_TIMEOUT_MILLIS, new ChannelInboundHandlerAdapter())
        .addListener(
            (ChannelFuture done) -> {
              LostRequests lost = lostRequestsByTarget.remove(target.incarnation());
              if (done.isSuccess()) {
                Sockets.close(done.channel());
              } else if (lost != null) {
                onCrash(target, lost);
              }
            });
  }

  private void onCrash(TargetFacts target, LostRequests lost) {
    CrashReport report =
        new CrashReport(
            target.id(),
            target.incarnation().startedAtMillis(),
            loop.wallMillis(),
            lost.fingerprints());
    boolean again = lost.fingerprints().stream().anyMatch(knownSuspects::contains);
    knownSuspects.addAll(lost.fingerprints());
    quarantine.add(report);
    log.record(
        EventKind.TARGET_CRASHED,
        "",
        target.service(),
        target.id(),
        0,
        lost.fingerprints().size() + " requests lost, suspect before: " + again);
    if (again || lost.hasNonIdempotent()) {
      publisher.accept(report);
    }
  }
}
