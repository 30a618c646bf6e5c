package org.sageladder.entry.request;

import io.micrometer.core.instrument.MeterRegistry;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.OutboundClient;
import org.sageladder.entry.gates.GateTable;
import org.sageladder.entry.quarantine.CrashDetector;
import org.sageladder.entry.settings.EntrySettings;

/** Puts together the parts that a request passes. */
public final class RequestPipeline {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final RequestRouter router;
  private final LookUps lookUps;
  private final LookUpExplainer lookUpExplainer;

  private final PermitHome issuer;
  private final PermitCodec codec;
  private final PermitEnforcer permitEnforcer;

  private RequestPipeline(
      RequestRouter router,
      LookUps lookUps,
      TimeSource time,
      PermitHome home,
      PermitCodec codec,
      PermitEnforcer permits) {
    this.router = router;
    this.lookUps = lookUps;
    this.lookUpExplainer = LookUpExplainer.of(lookUps, time);
    this.issuer = home;
    this.codec = codec;
    this.permitEnforcer = permits;
  }

  /** The request path of one entry VM. */
  public static RequestPipeline assemble(
      EntrySettings settings,
      OutboundClient client,
      ScheduledExecutorService timers,
      TimeSource time,
      EventSink events,
      MeterRegistry metrics,
      ControlPlane control,
      GateTable gates,
      Supplier<KeyRing> keys) {
    FlowContext parts =
        new FlowContext(
            settings.vm(),
            settings.customer(),
            client,
            timers,
            time,
            events,
            RequestCounters.in(metrics),
            CONNECT_TIMEOUT,
            CrashDetector.start(
                settings.customer(),
                Quarantine.create(Quarantine.Limits.standard()),
                client,
                timers,
                time,
                events,
                control.messages()));
    PermitCodec codec = PermitCodec.of(keys);
    PermitHome home =
        PermitHome.of(settings.vm(), newPermitIncarnation(), PermitHome.Limits.standard());
    PermitSuccessors successors = new PermitSuccessors();
    PermitEnforcer permits = new PermitEnforcer(parts, control, codec, home, successors);
    PeerRequestHandler peers =
        new PeerRequestHandler(settings.customer(), codec, home, successors, gates, time, timers);
    control
        .messages()
        .setReceiver(
            PeerRequestHandler.SUCCESSOR_TOPIC,
            (from, content) -> peers.onSuccessorAnnounced(content));
    LookUps lookUps = LookUps.create(time);
    return new RequestPipeline(
        new RequestRouter(
            parts,
            settings.customer(),
            settings.zone(),
            control,
            gates,
            lookUps,
            permits,
            peers,
            settings.callerLimits().bodyBytes()),
        lookUps,
        time,
        home,
        codec,
        permits);
  }

  /**
   * A number that no other start of this VM has had. Permits are numbered from 1 in each
   * incarnation: with a number seen before, a permit used before the restart would be unused again.
   */
  private static long newPermitIncarnation() {
    return new SecureRandom().nextLong();
  }

  /** The permits minted here. */
  public PermitHome issuer() {
    return issuer;
  }

  /** What seals and opens permits and the messages about them. */
  public PermitCodec codec() {
    return codec;
  }

  /** What the callers' port hands its requests to. */
  public RequestRouter router() {
    return router;
  }

  /** What operators ask why a look-up is answered as it is. */
  public LookUpExplainer lookUpExplainer() {
    return lookUpExplainer;
  }

  /** Notes where callers and other entry VMs reach this one, for the permits minted from now on. */
  public void advertiseAddress(String host, int port) {
    permitEnforcer.advertiseAddress(host + ":" + port);
  }

  /** Follows a new state. */
  public void applyState(ClusterState state) {
    lookUps.applyState(state);
  }
}
