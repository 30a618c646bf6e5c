package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;

/**
 * Guards against refusals that callers cannot read, since the connection is reset while they are
 * still sending.
 */
class EarlyRefusalTest {
  private static final int PIECE_COUNT = 20;
  private static final String PIECE = "x".repeat(10_000);

  /** Sends {@code start} and, once it was refused, the rest of the request. */
  private static void assertRefusedWithoutReset(int status, String start) throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open();
        Caller caller = fixture.caller()) {
      caller.write(start);
      assertEquals(status, caller.readResponse().status());
      for (int i = 0; i < PIECE_COUNT; i++) {
        caller.write(PIECE);
      }
      assertTrue(caller.isClosedByPeer());
    }
  }

  @Test
  void callerThatIsStillSendingItsHeadIsNotReset() throws Exception {
    assertRefusedWithoutReset(431, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nX-Long: " + PIECE);
  }

  @Test
  void callerThatIsStillSendingMalformedBytesIsNotReset() throws Exception {
    assertRefusedWithoutReset(400, "GET /safe/1 HTTP/1.1\r\nHost: h\r\n: no name\r\n\r\n");
  }

  @Test
  void callerThatIsStillSendingItsBodyIsNotReset() throws Exception {
    assertRefusedWithoutReset(
        404, "POST /none/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 500000\r\n\r\n");
  }

  @Test
  void bytesAfterARefusalAreNotTakenForARequest() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\n: no name\r\n\r\n");
      assertEquals(400, caller.readResponse().status());
      caller.sendGet("/safe/2", "b");
      assertTrue(caller.isClosedByPeer());
      assertEquals(0, target.receivedRequests.size());
    }
  }
}
