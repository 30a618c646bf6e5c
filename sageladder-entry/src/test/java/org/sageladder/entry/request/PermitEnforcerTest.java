package org.sageladder.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.FixedControlPlane;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.RequestSender;

/** Where a request is forwarded whose permit was minted by another entry VM. */
class PermitEnforcerTest {
  private static final Duration LONG = Duration.ofSeconds(20);

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final List<String> requestedHosts = new ArrayList<>();
  private final RecordingResponseChannel responses = new RecordingResponseChannel();
  private final PermitHome otherIssuer = PermitHome.of("entry-2", 4, PermitHome.Limits.standard());

  @AfterEach
  void stopTimers() {
    timers.shutdownNow();
  }

  // A response was lost and the request is sent again through another entry VM. The issuer of its
  // permit was just started or has been silent for a moment, so no view contains it. The caller got
  // HOME_LOST although the issuer had run the request and could replay the response.
  @Test
  void repeatReachesIssuerThatNoViewContains() throws IOException {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1"))));
    sendWithPermit(codec, codec.seal(minted().withIssuerAddress("127.0.0.1:8442")));
    assertEquals(List.of("127.0.0.1:8442"), requestedHosts);
    assertEquals(List.of(), responses.headers(Headers.RESULT));
  }

  // An attacker forges a permit under an unknown key, with the address of a host of its choice as
  // issuer. An entry VM that followed the address would send requests wherever the attacker likes.
  @Test
  void addressUnderUnknownKeyIsNotFollowed() throws IOException {
    PermitCodec attackersCodec = PermitCodec.of(() -> KeyRing.of(List.of(key("k2"))));
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1"))));
    sendWithPermit(codec, attackersCodec.seal(minted().withIssuerAddress("127.0.0.1:8442")));
    assertEquals(List.of(), requestedHosts);
    assertEquals(List.of("52 HOME_LOST"), responses.headers(Headers.RESULT));
  }

  private Permit minted() {
    return otherIssuer.mint("kalnins-dauge", "bid", System.currentTimeMillis()).orElseThrow();
  }

  private static KeyRing.Key key(String id) {
    return new KeyRing.Key(id, 0, KeyRing.Secret.of(new byte[32]));
  }

  private void sendWithPermit(PermitCodec codec, String permit) throws IOException {
    PermitEnforcer permits =
        new PermitEnforcer(
            context(),
            new FixedControlPlane(List.of()),
            codec,
            PermitHome.of("entry-1", 1, PermitHome.Limits.standard()),
            new PermitSuccessors());
    RequestHead head =
        new RequestHead("r-1", "kalnins-dauge", "bid", "/x", LONG, LONG, permit, "", "", "");
    CallerExchange.create(
            exchange -> permits.runIfPermitted(exchange, head, bidService(), flow -> {}))
        .handleRequest(
            new BasicHttpRequest("POST", "/v1/request/kalnins-dauge/bid/x"),
            null,
            responses,
            HttpCoreContext.create());
  }

  private FlowContext context() {
    RequestSender outbound =
        (host, request, details, body, connectTimeout, listener) -> {
          requestedHosts.add(host.toHostString());
          return () -> {};
        };
    return new FlowContext(
        "entry-1",
        "kalnins-dauge",
        outbound,
        timers,
        TimeSource.system(),
        EventSink.none(),
        RequestCounters.in(new SimpleMeterRegistry()),
        Duration.ofSeconds(1),
        EmptyCrashDetector.create(timers));
  }

  private static Contract.Service bidService() {
    Contract.ShiftCap cap = new Contract.ShiftCap(1, Duration.ofSeconds(1));
    return new Contract.Service(
        "bid", RequestClass.CRITICAL, false, 1, 3, 10, 20, 5, LONG, LONG, LONG, 0, cap, cap);
  }
}
