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

/** Assembles the components that process requests. */
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
      PermitHome issuer,
      PermitCodec codec,
      PermitEnforcer permitEnforcer) {
    this.router = router;
    this.lookUps = lookUps;
    this.lookUpExplainer = LookUpExplainer.of(lookUps, time);
    this.issuer = issuer;
    this.codec = codec;
    this.permitEnforcer = permitEnforcer;
  }

  /** The request pipeline of one entry VM. */
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
    FlowContext context =
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
    PermitHome issuer =
        PermitHome.of(settings.vm(), newPermitIncarnation(), PermitHome.Limits.standard());
    PermitSuccessors successors = new PermitSuccessors();
    PermitEnforcer permitEnforcer = new PermitEnforcer(context, control, codec, issuer, successors);
    PeerRequestHandler peerHandler =
        new PeerRequestHandler(settings.customer(), codec, issuer, successors, gates, time, timers);
    control
        .messages()
        .setReceiver(
            PeerRequestHandler.SUCCESSOR_TOPIC,
            (from, content) -> peerHandler.onSuccessorAnnounced(content));
    LookUps lookUps = LookUps.create(time);
    return new RequestPipeline(
        new RequestRouter(
            context,
            settings.customer(),
            settings.zone(),
            control,
            gates,
            lookUps,
            permitEnforcer,
            peerHandler,
            settings.callerLimits().maxBodyBytes()),
        lookUps,
        time,
        issuer,
        codec,
        permitEnforcer);
  }

  /**
   * A random number that no other start of this VM has used. Permits are numbered from 1 in each
   * incarnation: under a reused number, a permit that was used before the restart would count as
   * unused.
   */
  private static long newPermitIncarnation() {
    return new SecureRandom().nextLong();
  }

  /** The issuer of the permits minted here. */
  public PermitHome issuer() {
    return issuer;
  }

  /** Seals and opens permits and the messages about them. */
  public PermitCodec codec() {
    return codec;
  }

  /** Handles the requests that arrive at the callers' port. */
  public RequestRouter router() {
    return router;
  }

  /** Explains to operators how look-ups are answered. */
  public LookUpExplainer lookUpExplainer() {
    return lookUpExplainer;
  }

  /**
   * Sets the address at which callers and other entry VMs reach this one, for permits minted from
   * now on.
   */
  public void advertiseAddress(String host, int port) {
    permitEnforcer.advertiseAddress(host + ":" + port);
  }

  /** Applies a new cluster state. */
  public void applyState(ClusterState state) {
    lookUps.applyState(state);
  }
}
