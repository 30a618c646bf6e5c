package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ScriptedTarget.ReceivedRequest;

/** Guards against a late response to the first attempt of a request that its second one gets. */
class RepeatedSendTest {
  private static final int REQUESTS = 6;

  /** Ends of attempts after which a request may be sent again. */
  private static final Map<String, ScriptedTarget.Script> FAILURES =
      Map.of(
          "refused",
          request -> request.write(failure("503 Busy\r\nNot-Run: 1", request)),
          "misdirected",
          request -> request.write(failure("421 Misdirected", request)),
          "failed",
          request -> request.write(failure("500 Failed", request)),
          "not sealed",
          request -> request.write(failure("200 OK", request)),
          "malformed",
          request -> request.write("nonsense\r\n\r\n"),
          "truncated",
          request -> {
            request.write("HTTP/1.1 200 OK\r\nId: " + request.header("Id"));
            request.connection().close();
          },
          "reset",
          ReceivedRequest::reset);

  private static String failure(String statusAndHeader, ReceivedRequest request) {
    return "HTTP/1.1 "
        + statusAndHeader
        + "\r\nId: "
        + request.header("Id")
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  private static void assertEachConnectionCarriedEachRequestOnce(
      String failure, List<ReceivedRequest> requests) {
    Set<List<Object>> seen = new HashSet<>();
    for (ReceivedRequest request : requests) {
      assertTrue(
          seen.add(List.of(request.connection(), request.header("Id"))),
          failure + ": " + request.header("Id") + " was sent twice on one connection");
    }
  }

  private static int exchangeAll(ForwardingFixture fixture) throws Exception {
    try (Caller caller = fixture.caller()) {
      int answered = 0;
      for (int i = 0; i < REQUESTS; i++) {
        caller.exchange("/safe/" + i, "id-" + i);
        answered++;
      }
      return answered;
    }
  }

  @Test
  void targetGetsEachRequestOnce() throws Exception {
    for (Map.Entry<String, ScriptedTarget.Script> failure : FAILURES.entrySet()) {
      ScriptedTarget one = ScriptedTarget.of(failure.getValue());
      ScriptedTarget two = ScriptedTarget.of(failure.getValue());
      try (ForwardingFixture fixture = ForwardingFixture.open(one, two)) {
        assertEquals(REQUESTS, exchangeAll(fixture));
        for (ScriptedTarget target : List.of(one, two)) {
          long ids = target.receivedRequests.stream().map(r -> r.header("Id")).distinct().count();
          assertEquals(ids, target.receivedRequests.size(), failure.getKey());
        }
      }
    }
  }

  @Test
  void connectionToPeerCarriesEachRequestOnce() throws Exception {
    for (Map.Entry<String, ScriptedTarget.Script> failure : FAILURES.entrySet()) {
      ScriptedTarget one = ScriptedTarget.of(failure.getValue());
      ScriptedTarget two = ScriptedTarget.of(failure.getValue());
      try (ForwardingFixture fixture = ForwardingFixture.open();
          one;
          two) {
        fixture.addUnreachableTarget();
        fixture.addUnreachableTarget();
        fixture.useRelayPeers(
            ForwardingFixture.peer("e-2", "127.0.0.1", one.port()),
            ForwardingFixture.peer("e-3", "127.0.0.1", two.port()));
        assertEquals(REQUESTS, exchangeAll(fixture));
        assertTrue(!one.receivedRequests.isEmpty() || !two.receivedRequests.isEmpty());
        assertEachConnectionCarriedEachRequestOnce(failure.getKey(), one.receivedRequests);
        assertEachConnectionCarriedEachRequestOnce(failure.getKey(), two.receivedRequests);
      }
    }
  }

  /** One target that is reached by two entry VMs. */
  @Test
  void targetOfTwoVmsGetsEachRequestOncePerConnection() throws Exception {
    for (Map.Entry<String, ScriptedTarget.Script> failure : FAILURES.entrySet()) {
      ScriptedTarget target = ScriptedTarget.of(failure.getValue());
      try (ForwardingFixture peer = ForwardingFixture.open(target);
          ForwardingFixture fixture = ForwardingFixture.open()) {
        fixture.addUnreachableTarget();
        fixture.addUnreachableTarget();
        fixture.addTarget(target);
        fixture.useRelayPeers(peer.openPeerPort("127.0.0.1"));
        assertEquals(REQUESTS, exchangeAll(fixture));
        assertTrue(!target.receivedRequests.isEmpty());
        assertEachConnectionCarriedEachRequestOnce(failure.getKey(), target.receivedRequests);
      }
    }
  }
}
