package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;

/** Guards against an interim response that arrives within or before another request's response. */
class ExpectContinueTest {
  /** More than is buffered of a response before it is written. */
  private static final int STREAMED_BYTES = 300_000;

  private static final String BODY = "bid";

  private static void sendExpectingHead(Caller caller) throws IOException {
    caller.write(
        "POST /safe/2 HTTP/1.1\r\nHost: h\r\nId: b\r\nExpect: 100-continue\r\nContent-Length: "
            + BODY.length()
            + "\r\n\r\n");
  }

  @Test
  void interimResponseWaitsForItsTurn() throws Exception {
    CountDownLatch mayRespond = new CountDownLatch(1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.header("Id").equals("a")) {
                mayRespond.await();
              }
              request.respond("ran " + request.body());
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      sendExpectingHead(caller);
      target.firstRequest.await();
      while (fixture.inFlightCount() < 2) {
        Thread.onSpinWait();
      }
      mayRespond.countDown();
      assertEquals("ran ", caller.readResponse().body());
      assertEquals("HTTP/1.1 100 Continue\r\n\r\n", caller.readHead());
      caller.write(BODY);
      assertEquals("ran bid", caller.readResponse().body());
    }
  }

  @Test
  void interimResponseFollowsTheStreamedResponseBeforeIt() throws Exception {
    CountDownLatch mayEnd = new CountDownLatch(1);
    String half = "x".repeat(STREAMED_BYTES);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.header("Id").equals("b")) {
                request.respond("ran " + request.body());
                return;
              }
              request.write(
                  "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: "
                      + 2 * STREAMED_BYTES
                      + "\r\n\r\n"
                      + half);
              mayEnd.await();
              request.write(half);
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      ForwardingFixture.Response head = ForwardingFixture.Response.ofHead(caller.readHead());
      assertEquals(200, head.status());
      sendExpectingHead(caller);
      while (fixture.inFlightCount() < 2) {
        Thread.onSpinWait();
      }
      mayEnd.countDown();
      assertEquals(half + half, caller.readBody(2 * STREAMED_BYTES));
      assertEquals("HTTP/1.1 100 Continue\r\n\r\n", caller.readHead());
      caller.write(BODY);
      assertEquals("ran bid", caller.readResponse().body());
    }
  }
}
