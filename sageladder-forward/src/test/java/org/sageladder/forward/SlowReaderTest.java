package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sageladder.core.routing.CallerLimits;
import org.sageladder.forward.ForwardingFixture.Caller;

/** Guards against a heap used up by responses that callers read slowly or not at all. */
@Timeout(value = 5, unit = TimeUnit.MINUTES)
class SlowReaderTest {
  /** Together more than the kernel and the limit of pipelined requests take. */
  private static final int REQUESTS = 200;

  /** Few enough that a response is buffered until it is complete. */
  private static final int RESPONSE_BYTES = 200_000;

  /** Responses that are larger pause reading until it is their turn. */
  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  /** More than the pipelined requests in flight have; their responses wait. */
  private static final long MAX_HELD_BYTES = 8 << 20;

  private static long heldBytes(ForwardingFixture fixture) throws Exception {
    long[] bytes = new long[1];
    fixture.onLoop(() -> bytes[0] = fixture.forwarder.bufferedResponseBytes());
    return bytes[0];
  }

  @Test
  void requestsAreHeldBackUntilTheCallerReads() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.respond(request.path() + "x".repeat(RESPONSE_BYTES)));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller slow = fixture.caller();
        Caller other = fixture.caller()) {
      for (int i = 0; i < REQUESTS; i++) {
        slow.sendGet("/safe/" + i, "s-" + i);
      }
      for (int i = 0; i < 30; i++) {
        Thread.sleep(50);
        assertTrue(heldBytes(fixture) < MAX_HELD_BYTES);
        assertEquals(200, other.exchange("/safe/other", "o-" + i).status());
      }
      long started =
          target.receivedRequests.stream().filter(each -> !each.path().endsWith("other")).count();
      assertTrue(started < REQUESTS, started + " requests were started");
      for (int i = 0; i < REQUESTS; i++) {
        assertTrue(slow.readResponse().body().startsWith("/safe/" + i + "x"));
      }
    }
  }

  @Test
  void callerThatReadsNothingIsDisconnected() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.respond("x".repeat(RESPONSE_BYTES)));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller slow = fixture.caller()) {
      CallerLimits hasty = new CallerLimits(2_048, 1 << 20, 60_000, 300);
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(2, hasty)));
      for (int i = 0; i < REQUESTS; i++) {
        slow.sendGet("/safe/" + i, "s-" + i);
      }
      String[] text = {""};
      while (!text[0].contains("slow_readers_closed 1")) {
        Thread.sleep(10);
        fixture.onLoop(() -> text[0] = fixture.metrics.text());
      }
      while (heldBytes(fixture) > 0) {
        Thread.sleep(10);
      }
    }
  }

  @Test
  void bytesOfACallerThatLeavesAreNotCountedAnyMore() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.respond("x".repeat(RESPONSE_BYTES)));
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      Caller slow = fixture.caller();
      for (int i = 0; i < REQUESTS; i++) {
        slow.sendGet("/safe/" + i, "s-" + i);
      }
      while (heldBytes(fixture) == 0) {
        Thread.sleep(10);
      }
      slow.close();
      while (heldBytes(fixture) > 0) {
        Thread.sleep(10);
      }
    }
  }

  /** Guards against a reused connection that is not read, since its last response was held back. */
  @Test
  void connectionOfAHeldBackResponseIsReadAgain() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    String body = "x".repeat(MAX_BUFFERED_BYTES + 1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.path().endsWith("first")) {
                held.await();
              }
              request.respond(request.path().endsWith("large") ? body : "small");
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller pipelining = fixture.caller();
        Caller other = fixture.caller()) {
      pipelining.sendGet("/safe/first", "a");
      pipelining.sendGet("/safe/large", "b");
      while (heldBytes(fixture) < body.length()) {
        Thread.sleep(10);
      }
      assertEquals(200, other.exchange("/hasty/other", "c").status());
      held.countDown();
      assertEquals("small", pipelining.readResponse().body());
      assertEquals(body, pipelining.readResponse().body());
    }
  }
}
