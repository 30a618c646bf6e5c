package org.sageladder.entry.stop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.junit.jupiter.api.Test;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.Decision;
import org.sageladder.core.permit.HandOver;
import org.sageladder.core.permit.HandOverCodec;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.control.FixedControlPlane;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.InFlightCounter;
import org.sageladder.entry.exchange.RequestSender;
import org.sageladder.entry.request.PeerRequestHandler;
import org.sageladder.entry.request.RecordingResponseChannel;

/** In-flight requests and permits during a planned stop. */
class PlannedStopTest {
  private static final Duration SHORT = Duration.ofMillis(1);
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final PlannedStop.Limits LIMITS =
      new PlannedStop.Limits(SHORT, SHORT, Duration.ofMillis(2), LONG, LONG, LONG.multipliedBy(3));

  private final InFlightCounter inFlight = InFlightCounter.create();
  private final PermitHome issuer = PermitHome.of("entry-1", 1, PermitHome.Limits.standard());
  private final PermitHome successor = PermitHome.of("entry-2", 1, PermitHome.Limits.standard());
  private final CallerExchange openExchange = CallerExchange.create(exchange -> {}, inFlight);
  private final List<String> requestedPaths = new ArrayList<>();
  private final TimeSource time = TimeSource.system();

  private PlannedStop stop(RequestSender outbound, Member... peers) {
    return stop(LIMITS, outbound, peers);
  }

  private PlannedStop stop(PlannedStop.Limits limits, RequestSender outbound, Member... peers) {
    byte[] secret = new byte[32];
    KeyRing ring = KeyRing.of(List.of(new KeyRing.Key("k", 0, KeyRing.Secret.of(secret))));
    ControlPlane control = new FixedControlPlane(List.of(peers));
    PermitHandOver handOver =
        PermitHandOver.of(
            "entry-1",
            "riga-1",
            "kalnins-dauge",
            control,
            issuer,
            PermitCodec.of(() -> ring),
            PermitHome.Limits.standard(),
            outbound,
            time);
    return PlannedStop.of(control, inFlight, issuer, handOver, time, limits);
  }

  private static Member member(String vm, boolean isDraining) {
    return new Member(vm, "riga-1", 1, "127.0.0.1", 1, 2, isDraining);
  }

  /** A peer that adopts the permit states as a successor would, and then ends the open exchange. */
  private RequestSender peer() {
    return (host, request, details, body, connectTimeout, listener) -> {
      requestedPaths.add(request.getPath());
      if (request.getPath().equals(PeerRequestHandler.HAND_OVER_PATH)) {
        BodyCollector.collect(body, 1 << 20, this::adopt);
        openExchange.releaseResources();
      }
      listener.onResponse(new BasicHttpResponse(204), null, BodyPipe.of(new byte[0]));
      return () -> {};
    };
  }

  private void adopt(byte[] bytes) {
    try {
      HandOver state = HandOverCodec.decode(bytes);
      successor.adopt(state);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void beginExchange() throws IOException {
    openExchange.handleRequest(
        new BasicHttpRequest("GET", "/x"),
        null,
        new RecordingResponseChannel(),
        HttpCoreContext.create());
  }

  /**
   * A request is in flight when its entry VM is stopped. The stop must wait for it, and the
   * successor must decide on a permit that was minted before the stop.
   */
  @Test
  void inFlightRequestsEndAndSuccessorDecidesOnPermits() throws Exception {
    beginExchange();
    Permit permit = issuer.mint("kalnins-dauge", "bids", time.wallMillis()).orElseThrow();
    PlannedStop.Outcome outcome =
        stop(peer(), member("entry-1", true), member("entry-2", false)).run();
    assertEquals(0, outcome.exchangesCut());
    assertTrue(outcome.handedOver());
    assertEquals(
        new Decision.Moved("entry-2"), issuer.beginExecution(permit, "bid", time.wallMillis()));
    assertInstanceOf(
        Decision.Execute.class, successor.beginExecution(permit, "bid", time.wallMillis()));
  }

  /**
   * All entry VMs leave together: a successor that stops next would lose the permit states again.
   */
  @Test
  void leavingVmIsNotChosenAsSuccessor() throws Exception {
    PlannedStop.Outcome outcome = stop(peer(), member("entry-2", true)).run();
    assertFalse(outcome.handedOver());
    assertEquals(List.of(), requestedPaths);
  }

  /**
   * The first candidate does not respond. If the issuer were closed with it as successor, no other
   * VM could ever decide on its permits, so the next candidate is tried first.
   */
  @Test
  void unresponsiveCandidateIsNotChosenAsSuccessor() throws Exception {
    RequestSender peer = peer();
    RequestSender firstPeerIsDown =
        (host, request, details, body, connectTimeout, listener) -> {
          if (host.getPort() == 99) {
            listener.onFailure(false, new IOException("connection refused"));
            return () -> {};
          }
          return peer.send(host, request, details, body, connectTimeout, listener);
        };
    Member unresponsive = new Member("entry-0", "riga-1", 1, "127.0.0.1", 99, 2, false);
    assertTrue(stop(firstPeerIsDown, unresponsive, member("entry-2", false)).run().handedOver());
    Permit permit = new Permit("entry-1", 1, 1, Long.MAX_VALUE, "kalnins-dauge", "bids", "", "");
    assertEquals(
        new Decision.Moved("entry-2"), issuer.beginExecution(permit, "bid", time.wallMillis()));
  }

  /** Limits of single steps added up, so that a stop outlasted any bound on the whole. */
  @Test
  void allStepsTogetherEndWithinTheLimitOfTheWholeStop() throws Exception {
    beginExchange();
    PlannedStop.Limits limits =
        new PlannedStop.Limits(SHORT, SHORT, SHORT, LONG, LONG, Duration.ofMillis(50));
    RequestSender silent = (host, request, details, body, connectTimeout, listener) -> () -> {};
    PlannedStop.Outcome outcome = stop(limits, silent, member("entry-2", false)).run();
    assertEquals(1, outcome.exchangesCut());
    Duration total = outcome.runs().plus(outcome.handOver()).plus(outcome.exchanges());
    assertTrue(total.compareTo(LONG.dividedBy(10)) < 0, total.toString());
  }
}
