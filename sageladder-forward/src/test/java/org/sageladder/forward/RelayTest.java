package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.core.result.ResultCode;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Requests at an entry VM that reaches no target are served by another one. */
class RelayTest {
  /** More than is buffered of a body. */
  private static final int STREAMED_BYTES = 200_000;

  private static ForwardingFixture cutOff() throws Exception {
    ForwardingFixture fixture = ForwardingFixture.open();
    fixture.addUnreachableTarget();
    fixture.addUnreachableTarget();
    return fixture;
  }

  private static int resultCode(Response response) {
    return Integer.parseInt(response.header("Sageladder-Result"));
  }

  @Test
  void requestsAreServedByPeerWhileNoTargetAcceptsConnections() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran " + request.body()));
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      assertEquals("ran ", caller.exchange("/safe/1", "a").body());
      caller.sendPost("/once/1", "b", "bid");
      assertEquals("ran bid", caller.readResponse().body());
      assertEquals("", target.receivedRequests.get(0).header("Sageladder-Relay"));
    }
  }

  /** Guards against a second run of a request that a lost peer may have had run. */
  @Test
  void nonIdempotentRequestLostAtPeerIsNotSentAgain() throws Exception {
    ScriptedTarget brokenPeer = ScriptedTarget.of(ScriptedTarget.ReceivedRequest::reset);
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      RelayPeer working = peer.openPeerPort("127.0.0.1");
      fixture.useRelayPeers(
          ForwardingFixture.peer("e-1-broken", "127.0.0.1", brokenPeer.port()), working);
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(502, caller.readResponse().status());
      assertEquals(1, brokenPeer.receivedRequests.size());
      assertEquals(List.of(), target.receivedRequests);
      brokenPeer.close();
    }
  }

  /** Guards against a malformed head that another entry VM, or a target behind it, lets through. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 Failed",
        "0200 OK",
        "200 O\u0000K",
        "200 OK\r\nX Note: n",
        "200 OK\r\nX-Note : n",
        "200 OK\r\n X-Note: n",
        "200 OK\r\nTransfer-Encoding: gzip"
      })
  void malformedHeadOfPeerIsNotForwarded(String head) throws Exception {
    ScriptedTarget brokenPeer =
        ScriptedTarget.of(
            request ->
                request.write(
                    ScriptedTarget.okResponse(request.header("Id"), "own")
                        .replace("200 OK", head)));
    try (ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(ForwardingFixture.peer("e-2", "127.0.0.1", brokenPeer.port()));
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(502, caller.readResponse().status());
      assertEquals(1, brokenPeer.receivedRequests.size());
      brokenPeer.close();
    }
  }

  /** Guards against a request that goes round among VMs that reach no target. */
  @Test
  void requestIsRefusedOnceNoPeerReachesTargets() throws Exception {
    try (ForwardingFixture peer = cutOff();
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      caller.sendPost("/once/1", "a", "bid");
      Response response = caller.readResponse();
      assertEquals(503, response.status());
      assertEquals(ResultCode.NO_TARGET.number(), resultCode(response));
    }
  }

  /** Guards against a head within the limit that the headers for the peer make too long. */
  @Test
  void largestHeadIsServedByPeer() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    String start = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nNote: ";
    int room = ForwardingFixture.LIMITS.maxHeadBytes() - start.length() - 10;
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      caller.write(start + "n".repeat(room) + "\r\n\r\n");
      assertEquals(200, caller.readResponse().status());
    }
  }

  /** Guards against a part of a response that a peer passes on as a whole one. */
  @Test
  void responseTruncatedAtTheTargetOfAPeerIsNotComplete() throws Exception {
    String part = "x".repeat(STREAMED_BYTES * 2);
    String[] heads = {
      "Content-Length: 900000\r\n\r\n" + part,
      "Content-Length: 10\r\n\r\nshort",
      "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(part.length()) + "\r\n" + part,
      "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
      "\r\n" + part,
      "\r\nshort"
    };
    for (String rest : heads) {
      ScriptedTarget target =
          ScriptedTarget.of(
              request -> {
                request.write("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n" + rest);
                request.reset();
              });
      try (ForwardingFixture peer = ForwardingFixture.open(target);
          ForwardingFixture fixture = cutOff();
          Caller caller = fixture.caller()) {
        fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
        caller.sendGet("/once/1", "a");
        assertFalse(caller.readsCompleteSuccess(), rest.lines().findFirst().orElse(""));
      }
    }
  }

  /** Guards against a 404 from a peer that has not received the newest rules yet. */
  @Test
  void peerWithOlderRulesDoesNotDecide() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(2)));
      assertEquals(503, caller.exchange("/safe/1", "a").status());
      assertEquals(List.of(), target.receivedRequests);
      peer.onLoop(() -> peer.forwarder.applyRules(ForwardingFixture.rules(2)));
      assertEquals("ran", caller.exchange("/safe/1", "b").body());
    }
  }

  /** Guards against callers that pose as an entry VM to get round quotas and retry limits. */
  @Test
  void requestOfUnknownSenderIsRefusedAtThePeerPort() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture peer = ForwardingFixture.open(target)) {
      RelayPeer opened = peer.openPeerPort("127.0.0.9");
      try (Caller stranger =
          new Caller(new Socket(InetAddress.getLoopbackAddress(), opened.port()))) {
        stranger.write(
            """
            GET /safe/1 HTTP/1.1\r
            Host: h\r
            Id: a\r
            Sageladder-Relay: 1/0\r
            Sageladder-Service: s\r
            \r
            """);
        Response response = stranger.readResponse();
        assertEquals(ResultCode.RELAY_UNAVAILABLE.number(), resultCode(response));
        assertEquals(List.of(), target.receivedRequests);
      }
    }
  }

  /** Guards against runs that go on after the caller of a relayed request has left. */
  @Test
  void callerThatLeavesCancelsTheRunBehindThePeer() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      Caller caller = fixture.caller();
      caller.sendGet("/safe/1", "a");
      assertTrue(target.firstRequest.await(10, TimeUnit.SECONDS));
      caller.close();
      assertTrue(target.connectionEnds.poll(10, TimeUnit.SECONDS) != null);
    }
  }

  /** A VM that is stopping cannot promise to serve a relayed request; another VM has to. */
  @Test
  void requestRelayedToAStoppingPeerIsServedByAnother() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture stopping = ForwardingFixture.open(target);
        ForwardingFixture running = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      RelayPeer first = stopping.openPeerPort("127.0.0.1");
      RelayPeer second = running.openPeerPort("127.0.0.1");
      fixture.useRelayPeers(
          ForwardingFixture.peer("e-1-stopping", first.host(), first.port()), second);
      stopping.onLoop(() -> stopping.forwarder.beginShutdown(100));
      caller.sendPost("/once/1", "a", "bid");
      assertEquals("ran", caller.readResponse().body());
      assertEquals(1, target.receivedRequests.size());
    }
  }

  /** A relayed request at a target was cut off as the VM that serves it stopped. */
  @Test
  void requestRelayedToAPeerThatStopsMeanwhileIsAnswered() throws Exception {
    CountDownLatch portClosed = new CountDownLatch(1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              portClosed.await();
              request.respond("ran");
            });
    try (ForwardingFixture peer = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(target.firstRequest.await(60, TimeUnit.SECONDS));
      peer.onLoop(
          () -> {
            peer.forwarder.beginShutdown(60_000);
            peer.forwarder.stopListening();
          });
      portClosed.countDown();
      assertEquals("ran", caller.readResponse().body());
    }
  }

  /** As a stop ends, the caller of a relayed request learns that its outcome is unknown. */
  @Test
  void relayedRequestHasAnOutcomeAsTheStopOfThePeerEnds() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture peer = ForwardingFixture.open(silent);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(60, TimeUnit.SECONDS));
      peer.onLoop(() -> peer.forwarder.beginShutdown(60_000));
      peer.onLoop(peer.forwarder::abandonAll);
      assertEquals(502, caller.readResponse().status());
    }
  }

  /** As a VM stops, requests that it has relayed get an answer like those at targets. */
  @Test
  void requestRelayedByAVmThatStopsIsAnswered() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture peer = ForwardingFixture.open(silent);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(60, TimeUnit.SECONDS));
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(60_000));
      fixture.onLoop(fixture.forwarder::abandonAll);
      assertEquals(502, caller.readResponse().status());
      assertTrue(silent.connectionEnds.poll(10, TimeUnit.SECONDS) != null);
    }
  }

  /** Guards against a run without the part of the body that a peer got before it refused. */
  @Test
  void streamedBodyIsNotSentAgainAfterTheRefusalOfAPeerWithOlderRules() throws Exception {
    try (ForwardingFixture refusing = ForwardingFixture.open()) {
      assertStreamedBodyIsNotSentAgain(refusing);
    }
  }

  /** As above, a peer that has no rules yet. */
  @Test
  void streamedBodyIsNotSentAgainAfterTheRefusalOfAPeerWithoutRules() throws Exception {
    try (ForwardingFixture refusing = ForwardingFixture.withoutRules()) {
      assertStreamedBodyIsNotSentAgain(refusing);
    }
  }

  /** As above, a peer that is stopping. */
  @Test
  void streamedBodyIsNotSentAgainAfterTheRefusalOfAStoppingPeer() throws Exception {
    try (ForwardingFixture refusing = ForwardingFixture.open()) {
      refusing.onLoop(
          () -> {
            refusing.forwarder.applyRules(ForwardingFixture.rules(2));
            refusing.forwarder.beginShutdown(100);
          });
      assertStreamedBodyIsNotSentAgain(refusing);
    }
  }

  /** As above, a peer that reaches no target either. */
  @Test
  void streamedBodyIsNotSentAgainAfterTheRefusalOfAPeerWithoutTargets() throws Exception {
    try (ForwardingFixture refusing = cutOff()) {
      refusing.onLoop(() -> refusing.forwarder.applyRules(ForwardingFixture.rules(2)));
      assertStreamedBodyIsNotSentAgain(refusing);
    }
  }

  private static void assertStreamedBodyIsNotSentAgain(ForwardingFixture refusing)
      throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture working = ForwardingFixture.open(target);
        ForwardingFixture fixture = cutOff();
        Caller caller = fixture.caller()) {
      RelayPeer first = refusing.openPeerPort("127.0.0.1");
      RelayPeer second = working.openPeerPort("127.0.0.1");
      fixture.useRelayPeers(
          ForwardingFixture.peer("e-1-refusing", first.host(), first.port()), second);
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(2)));
      working.onLoop(() -> working.forwarder.applyRules(ForwardingFixture.rules(2)));
      // The body does not end here, so that it cannot be buffered whole.
      String part = "x".repeat(STREAMED_BYTES);
      caller.write(
          "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(STREAMED_BYTES)
              + "\r\n"
              + part
              + "\r\n");
      Response response = caller.readResponse();
      assertEquals(503, response.status());
      assertEquals(ResultCode.TARGET_REFUSED.number(), resultCode(response));
      assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
      assertEquals(List.of(), target.receivedRequests);
    }
  }
}
