package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.quarantine.QuarantineNotice;
import org.sageladder.core.quarantine.RunSuccess;

/**
 * Detects crashed targets and quarantines requests that crash one target after another.
 *
 * <p>If a request is lost and its target refuses connections a moment later, the target has
 * crashed, and the requests lost there at that time are suspect. {@link Quarantine} decides which
 * of them are refused. A request that crashes count against is not sent again before it is known
 * whether it has just crashed another target.
 *
 * <p>Other entry VMs are told of the crashes of a request that ended without an answer, since its
 * caller may turn to them next. A request that was answered by another target has caused no crash.
 */
final class CrashDetector {
  /** By then a crashed target refuses connections; one that only closed a connection does not. */
  private static final long PROBE_DELAY_MILLIS = 60;

  private static final int PROBE_TIMEOUT_MILLIS = 500;

  /** Maximum number of incarnations whose lost requests are remembered. */
  private static final int MAX_LOSSES = 256;

  private final Loop loop;
  private final EventSink log;
  private final Metrics metrics;
  private final Predicate<TargetFacts> isLost;
  private final Quarantine quarantine = Quarantine.create(Quarantine.Limits.standard());
  private final Map<TargetIncarnation, TargetLoss> losses = new LinkedHashMap<>();
  private final SuccessAnnouncer announcer;
  private Consumer<QuarantineNotice> publisher = notice -> {};

  /**
   * Creates a detector.
   *
   * @param isLost true for a target that this VM does not reach, like others of its service
   */
  CrashDetector(
      Loop loop,
      EventSink log,
      Metrics metrics,
      DoubleSupplier randomFraction,
      Predicate<TargetFacts> isLost) {
    this.loop = loop;
    this.isLost = isLost;
    this.log = log;
    this.metrics = metrics;
    this.announcer =
        new SuccessAnnouncer(
            loop, quarantine, randomFraction, success -> publisher.accept(success));
  }

  /** Sets the consumer of what other entry VMs need to know. */
  void publishTo(Consumer<QuarantineNotice> noticePublisher) {
    publisher = noticePublisher;
  }

  /** Handles a run that ended well at another entry VM. */
  void onRunSuccess(RunSuccess success) {
    announcer.onAnnounced(success);
    updateQuarantine(() -> quarantine.recordSuccess(success.fingerprint(), success.atMillis()));
  }

  /** Handles a crash that another entry VM has reported. */
  void onCrashReport(CrashReport report) {
    metrics.count("crash_reports_received");
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
    updateQuarantine(() -> quarantine.add(report));
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
  void onRequestLost(TargetFacts target, String request, RequestFingerprint fingerprint) {
    TargetLoss loss = losses.get(target.incarnation());
    if (loss == null) {
      loss = new TargetLoss(target, loop.wallMillis());
      losses.put(target.incarnation(), loss);
      removeOldestLoss();
      var unused = loop.schedule(PROBE_DELAY_MILLIS, () -> probe(target));
    }
    loss.add(fingerprint, request);
    if (loss.isCrash()) {
      CrashReport report = loss.report();
      updateQuarantine(() -> quarantine.add(report));
    }
  }

  private void removeOldestLoss() {
    if (losses.size() > MAX_LOSSES) {
      TargetLoss oldest = losses.remove(losses.keySet().iterator().next());
      oldest.runWaiting();
    }
  }

  /**
   * Runs {@code sendAgain} for a request that was just lost at {@code target}: at once, or if
   * earlier crashes count against it, once it is known whether this target crashed too.
   */
  void beforeSendingAgain(TargetIncarnation target, long fingerprint, Runnable sendAgain) {
    TargetLoss loss = losses.get(target);
    if (loss == null || !quarantine.isAccused(fingerprint)) {
      sendAgain.run();
      return;
    }
    loss.whenDecided(sendAgain);
  }

  /** Handles the end of a request that was lost at {@code targets} and got no answer at others. */
  void onUnanswered(long fingerprint, Collection<TargetIncarnation> targets) {
    for (TargetIncarnation target : targets) {
      TargetLoss loss = losses.get(target);
      if (loss != null) {
        loss.addUnanswered(fingerprint);
        publish(loss);
      }
    }
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

  private void probe(TargetFacts target) {
    loop.connect(target.host(), target.port(), PROBE_TIMEOUT_MILLIS, new ProbeHandler())
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                Sockets.close(done.channel());
                onAlive(target.incarnation());
              } else if (done.cause() instanceof ConnectTimeoutException && isLost.test(target)) {
                // The path is cut; a crashed target refuses connections.
                onAlive(target.incarnation());
              } else {
                onCrash(target.incarnation());
              }
            });
  }

  private void onAlive(TargetIncarnation target) {
    TargetLoss loss = losses.remove(target);
    if (loss != null) {
      loss.runWaiting();
    }
  }

  private void onCrash(TargetIncarnation target) {
    TargetLoss loss = losses.get(target);
    if (loss == null) {
      return;
    }
    loss.confirmCrash();
    metrics.count("target_crashes");
    log.record(
        EventKind.TARGET_CRASHED,
        "",
        loss.target().service(),
        target.id(),
        target.startedAtMillis(),
        loss.describe());
    updateQuarantine(() -> quarantine.add(loss.report()));
    loss.runWaiting();
    publish(loss);
  }

  private void publish(TargetLoss loss) {
    if (loss.hasUnpublished()) {
      publisher.accept(loss.reportToPublish());
    }
  }

  /** Applies a change, and logs the requests whose quarantine begins or ends with it. */
  private void updateQuarantine(Runnable change) {
    long now = loop.wallMillis();
    Set<Long> before = quarantine.quarantined(now);
    change.run();
    announcer.onChange();
    Set<Long> after = quarantine.quarantined(now);
    after.stream()
        .filter(fingerprint -> !before.contains(fingerprint))
        .forEach(fingerprint -> logQuarantine(fingerprint, "begins"));
    before.stream()
        .filter(fingerprint -> !after.contains(fingerprint))
        .forEach(fingerprint -> logQuarantine(fingerprint, "ends"));
  }

  private void logQuarantine(long fingerprint, String change) {
    log.record(
        EventKind.QUARANTINED,
        "",
        "",
        Long.toHexString(fingerprint),
        0,
        change + ": " + quarantine.describe(fingerprint, loop.wallMillis()));
  }

  private static String describeFingerprints(CrashReport report) {
    return report.fingerprints().stream().map(Long::toHexString).collect(Collectors.joining(" "));
  }
}
