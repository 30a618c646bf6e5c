package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.forward.ForwardingFixture.Caller;

/** Guards against responses of targets that go on until their connection is closed. */
class EndlessResponseTest {
  private static final int PIPELINED_REQUESTS = 16;
  private static final int CALLER_COUNT = 12;
  private static final int MIN_RUNNING_REQUESTS = 100;

  /** Larger than what the sockets' buffers and one read of each connection hold. */
  private static final long MAX_BUFFERED_BYTES = 16 << 20;

  private static ScriptedTarget.Script endless(String start, String repeated) {
    String block = repeated.repeat(Math.max(1, 4_096 / repeated.length()));
    return request -> {
      request.write(start.replace("ID", request.header("Id")));
      while (true) {
        request.write(block);
      }
    };
  }

  private static void assertTargetIsClosed(ScriptedTarget target) throws InterruptedException {
    assertTrue(target.connectionEnds.poll(20, TimeUnit.SECONDS) != null);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nId: ID\r\n|A: b\r\n",
        "HTTP/1.1 200 OK\r\nId: ID\r\nA: |b",
        "HTTP/1.1 200 |OK",
        "|x",
        "|HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=|b",
        "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|A: b\r\n",
      })
  void responseWithoutBodyEndsLongBeforeItsTimeout(String text) throws Exception {
    String[] parts = text.split("\\|", -1);
    ScriptedTarget target = ScriptedTarget.of(endless(parts[0], parts[1]));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/safe/1", "a").status());
      assertTargetIsClosed(target);
    }
  }

  @Test
  void bodyOfAnotherRequestWithoutEndIsDiscardedUntilTheTimeout() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            endless(
                "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1\r\nx\r\n"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(504, caller.exchange("/hasty/1", "a").status());
      assertTargetIsClosed(target);
    }
  }

  /** The caller gets the body as it comes, and a cut connection at the route's timeout. */
  @Test
  void bodyWithoutEndIsCutAtTheTimeout() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            endless(
                "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "8\r\nabcdefgh\r\n"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/hasty/1", "a");
      assertThrows(IOException.class, () -> readForever(caller));
      assertTargetIsClosed(target);
    }
  }

  private static void readForever(Caller caller) throws IOException {
    while (!caller.isClosedByPeer()) {
      // Reads on until the connection ends.
    }
    throw new IOException("closed");
  }

  /** Guards against a heap used up by many endless responses that wait for their turn. */
  @Test
  void manyEndlessBodiesKeepWithinTheMemoryForResponses() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(endless("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n", "endless body"));
    Caller[] callers = new Caller[CALLER_COUNT];
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      for (int i = 0; i < CALLER_COUNT; i++) {
        callers[i] = fixture.caller();
        for (int n = 0; n < PIPELINED_REQUESTS; n++) {
          callers[i].sendGet("/safe/" + n, "id-" + i + "-" + n);
        }
      }
      waitForRequests(target);
      long largest = 0;
      for (int i = 0; i < 20; i++) {
        Thread.sleep(50);
        largest = Math.max(largest, bufferedBytes(fixture));
      }
      assertTrue(largest < MAX_BUFFERED_BYTES, largest + " bytes");
      for (Caller caller : callers) {
        caller.close();
      }
      assertEquals(0, bytesAfterClose(fixture));
    }
  }

  /** Guards against responses that are buffered no more since callers have left. */
  @Test
  void responseThatWaitsAsItsCallerLeavesIsNotCountedAnyMore() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.path().equals("/safe/ready")) {
                request.respond("x".repeat(20_000));
              }
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      Caller caller = fixture.caller();
      caller.sendGet("/safe/slow", "a");
      caller.sendGet("/safe/ready", "b");
      for (int i = 0; i < 6_000 && bufferedBytes(fixture) < 20_000; i++) {
        Thread.sleep(10);
      }
      assertEquals(20_000, bufferedBytes(fixture));
      caller.close();
      assertEquals(0, bytesAfterClose(fixture));
    }
  }

  private static void waitForRequests(ScriptedTarget target) throws InterruptedException {
    for (int i = 0; i < 200 && target.receivedRequests.size() < MIN_RUNNING_REQUESTS; i++) {
      Thread.sleep(50);
    }
  }

  private static long bufferedBytes(ForwardingFixture fixture) throws Exception {
    CompletableFuture<Long> bytes = new CompletableFuture<>();
    fixture.onLoop(() -> bytes.complete(fixture.forwarder.responseMemory().bytes()));
    return bytes.get();
  }

  private static long bytesAfterClose(ForwardingFixture fixture) throws Exception {
    long bytes = bufferedBytes(fixture);
    for (int i = 0; i < 100 && bytes > 0; i++) {
      Thread.sleep(50);
      bytes = bufferedBytes(fixture);
    }
    return bytes;
  }
}
