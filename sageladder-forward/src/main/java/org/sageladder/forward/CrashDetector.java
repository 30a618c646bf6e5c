package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.Quarantine;

/**
 * Detects crashed targets and quarantines requests that crash one target after another.
 *
 * <p>If a request is lost and its target refuses connections a moment later, the target has
 * crashed, and the requests lost there at that time are suspect. A request that was in flight at
 * two crashes, and at half of all crashes around that time, is refused instead of crashing a third
 * target. A crash is published to other entry VMs only if they may receive the request next: if it
 * was suspect before, or if it is not retried at a second target here.
 */
final class CrashDetector {
  /** By then a crashed target refuses connections; one that only closed a connection does not. */
  private static final long PROBE_DELAY_MILLIS = 60;

  private static final int PROBE_TIMEOUT_MILLIS = 500;

  /** Maximum number of requests that the log line of a crash names. */
  private static final int MAX_LOGGED_REQUESTS = 8;

  private record LostRequests(
      Set<Long> fingerprints, boolean hasNonIdempotent, List<String> descriptions) {}

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

  /** Sets the consumer of crashes that other entry VMs need to know of. */
  void publishTo(Consumer<CrashReport> crashPublisher) {
    publisher = crashPublisher;
  }

  /** Handles a crash that another entry VM has reported. */
  void onCrashReport(CrashReport report) {
    knownSuspects.addAll(report.fingerprints());
    updateQuarantine(() -> quarantine.add(report));
    log.record(
        EventKind.TARGET_CRASHED,
        "",
        "",
        report.target(),
        report.incarnation(),
        "reported after "
            + (loop.wallMillis() - report.atMillis())
            + " ms with "
            + describeFingerprints(report));
  }

  /** Handles the complete answer to a request, which therefore does not crash its targets. */
  void onRunEndedWell(Supplier<RequestFingerprint> fingerprint) {
    if (!quarantine.hasAccused()) {
      return;
    }
    long value = fingerprint.get().value();
    if (quarantine.isAccused(value)) {
      updateQuarantine(() -> quarantine.recordSuccess(value, loop.wallMillis()));
    }
  }

  /** Applies a change and logs the requests whose quarantine begins or ends with it. */
  private void updateQuarantine(Runnable change) {
    long now = loop.wallMillis();
    Set<Long> before = quarantine.quarantined(now);
    change.run();
    Set<Long> after = quarantine.quarantined(now);
    for (long fingerprint : after) {
      if (!before.contains(fingerprint)) {
        logQuarantine(fingerprint, quarantine.describe(fingerprint, now));
      }
    }
    for (long fingerprint : before) {
      if (!after.contains(fingerprint)) {
        logQuarantine(fingerprint, "ends, " + quarantine.describe(fingerprint, now));
      }
    }
  }

  private void logQuarantine(long fingerprint, String detail) {
    log.record(EventKind.QUARANTINED, "", "", RequestFingerprint.toHex(fingerprint), 0, detail);
  }

  private static String describeFingerprints(CrashReport report) {
    return report.fingerprints().stream()
        .map(RequestFingerprint::toHex)
        .collect(Collectors.joining(" "));
  }

  /** Milliseconds for which the request stays quarantined; 0 if it is not. */
  long quarantineMillis(Supplier<RequestFingerprint> fingerprint) {
    if (quarantine.isEmpty()) {
      return 0;
    }
    return quarantine.remainingMillis(fingerprint.get().value(), loop.wallMillis());
  }

  /** States why the request is refused, for the log. */
  String describeQuarantine(RequestFingerprint fingerprint) {
    return "the request has crashed targets, fingerprint "
        + fingerprint.describe()
        + ", "
        + quarantine.describe(fingerprint.value(), loop.wallMillis());
  }

  /**
   * Handles a connection that ended before any byte of a response to its request.
   *
   * @param request id and caller of the request, for the log
   */
  void onRequestLost(
      TargetFacts target, String request, RequestFingerprint fingerprint, boolean nonIdempotent) {
    LostRequests lost = lostRequestsByTarget.get(target.incarnation());
    if (lost == null) {
      lost = new LostRequests(new HashSet<>(), nonIdempotent, new ArrayList<>());
      var unused = loop.schedule(PROBE_DELAY_MILLIS, () -> probe(target));
    }
    lost.fingerprints().add(fingerprint.value());
    if (lost.descriptions().size() < MAX_LOGGED_REQUESTS) {
      lost.descriptions().add(request + " with fingerprint " + fingerprint.describe());
    }
    lostRequestsByTarget.put(
        target.incarnation(),
        new LostRequests(
            lost.fingerprints(), lost.hasNonIdempotent() || nonIdempotent, lost.descriptions()));
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
    boolean wasSuspect = lost.fingerprints().stream().anyMatch(knownSuspects::contains);
    knownSuspects.addAll(lost.fingerprints());
    updateQuarantine(() -> quarantine.add(report));
    log.record(
        EventKind.TARGET_CRASHED,
        "",
        target.service(),
        target.id(),
        target.incarnation().startedAtMillis(),
        lost.fingerprints().size()
            + " requests lost, any suspect before: "
            + wasSuspect
            + "; "
            + String.join("; ", lost.descriptions()));
    if (wasSuspect || lost.hasNonIdempotent()) {
      publisher.accept(report);
    }
  }
}
