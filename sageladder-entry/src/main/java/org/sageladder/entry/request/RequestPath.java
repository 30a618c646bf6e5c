package org.sageladder.entry.request;

import io.micrometer.core.instrument.MeterRegistry;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.OutboundClient;
import org.sageladder.entry.gates.GateTable;
import org.sageladder.entry.settings.EntrySettings;

/** Puts together the parts that a request passes. */
public final class RequestPath {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int SECRET_BYTES = 32;

  private final RequestRouter router;
  private final LookUps lookUps;

  private RequestPath(RequestRouter router, LookUps lookUps) {
    this.router = router;
    this.lookUps = lookUps;
  }

  /** The request path of one entry VM. */
  public static RequestPath assemble(
      EntrySettings settings,
      OutboundClient client,
      ScheduledExecutorService timers,
      TimeSource time,
      EventSink events,
      MeterRegistry metrics,
      ControlPlane control,
      GateTable gates) {
    FlowParts parts =
        new FlowParts(
            settings.vm(),
            settings.customer(),
            client,
            timers,
            time,
            events,
            RequestCounters.in(metrics),
            CONNECT_TIMEOUT);
    KeyRing ring = ownRing(time.wallMillis());
    Permits permits =
        new Permits(
            parts,
            control,
            PermitCodec.of(() -> ring),
            PermitHome.of(
                settings.vm(), settings.incarnation().number(), PermitHome.Limits.standard()));
    LookUps lookUps = LookUps.create(time);
    return new RequestPath(
        new RequestRouter(
            parts, settings.customer(), settings.zone(), control, gates, lookUps, permits),
        lookUps);
  }

  /** A key of this process alone; permits of other entry VMs are passed on to their homes. */
  private static KeyRing ownRing(long nowMillis) {
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    return KeyRing.of(List.of(new KeyRing.Key("own", nowMillis, KeyRing.Secret.of(secret))));
  }

  /** What the callers' port hands its requests to. */
  public RequestRouter router() {
    return router;
  }

  /** Follows a new state. */
  public void follow(ClusterState state) {
    lookUps.follow(state);
  }
}
