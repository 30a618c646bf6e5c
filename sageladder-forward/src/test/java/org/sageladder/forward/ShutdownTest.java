package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** A planned shutdown of an entry VM does not cut off requests. */
class ShutdownTest {
  /**
   * Two requests are pipelined before the shutdown begins. The response to the first one closed the
   * connection while the second request was in flight at its target, so that its response was lost.
   */
  @Test
  void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses() throws Exception {
    CountDownLatch shutdownBegun = new CountDownLatch(1);
    CountDownLatch bothReceived = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              bothReceived.countDown();
              shutdownBegun.await();
              request.respond(request.header("Id"));
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      caller.sendGet("/safe/2", "b");
      assertTrue(bothReceived.await(60, TimeUnit.SECONDS));
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(60_000));
      shutdownBegun.countDown();
      Response first = caller.readResponse();
      assertEquals("a", first.body());
      assertEquals("", first.header("Connection"));
      Response second = caller.readResponse();
      assertEquals("b", second.body());
      assertEquals("close", second.header("Connection"));
      assertTrue(caller.isClosedByPeer());
    }
  }

  /**
   * Waits until the kernel has closed the port, which takes a moment; after that it stays closed.
   */
  private static void awaitConnectionRefused(ForwardingFixture fixture)
      throws InterruptedException {
    try {
      while (true) {
        fixture.caller().close();
        Thread.sleep(5);
      }
    } catch (IOException refused) {
      return;
    }
  }

  /**
   * A request sent during the shutdown was still waiting at its target when the VM stopped, and its
   * connection closed without a response. Refused at once as not run, it can be sent to another VM.
   */
  @Test
  void requestThatCannotFinishBeforeTheStopIsRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(100));
      Response response = caller.exchange("/safe/1", "a");
      assertEquals(503, response.status());
      assertEquals("close", response.header("Connection"));
      assertEquals(0, target.receivedRequests.size());
    }
  }

  /** It would run although its response can never be delivered. */
  @Test
  void requestBehindOneThatEndsTheConnectionIsNotSentOn() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(request.header("Id")));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      String get = " HTTP/1.1\r\nHost: h\r\n";
      caller.write(
          "GET /safe/1"
              + get
              + "Id: a\r\nConnection: close\r\n\r\n"
              + "GET /safe/2"
              + get
              + "Id: b\r\n\r\n");
      assertEquals("a", caller.readResponse().body());
      assertTrue(caller.isClosedByPeer());
      assertEquals(1, target.receivedRequests.size());
    }
  }

  /** A request in flight when the VM stops listening is answered; new connections are refused. */
  @Test
  void inFlightRequestFinishesAfterThePortIsClosed() throws Exception {
    CountDownLatch portClosed = new CountDownLatch(1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              portClosed.await();
              request.respond("whole");
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      assertTrue(target.firstRequest.await(60, TimeUnit.SECONDS));
      fixture.onLoop(
          () -> {
            fixture.forwarder.beginShutdown(60_000);
            fixture.forwarder.stopListening();
          });
      awaitConnectionRefused(fixture);
      portClosed.countDown();
      assertEquals("whole", caller.readResponse().body());
    }
  }

  /** A late event loop closed connections although a request had arrived long before. */
  @Test
  void requestThatArrivedBeforeItsConnectionIsClosedIsAnswered() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/safe/1", "a").status());
      fixture.onLoop(
          () -> {
            caller.sendGetUnchecked("/safe/2", "b");
            fixture.forwarder.stopListening();
          });
      assertEquals("ran", caller.readResponse().body());
    }
  }

  /** Connections in the kernel's queue of a port that closes were reset with their requests. */
  @Test
  void requestOnAConnectionThatWaitsToBeAcceptedIsAnswered() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      AtomicReference<Caller> caller = new AtomicReference<>();
      fixture.onLoop(
          () -> {
            caller.set(fixture.callerUnchecked());
            caller.get().sendGetUnchecked("/safe/1", "a");
            fixture.forwarder.stopListening();
          });
      try (Caller opened = caller.get()) {
        assertEquals("ran", opened.readResponse().body());
      }
    }
  }

  /** A connection that was just opened was closed while its first request was on its way. */
  @Test
  void firstRequestOfANewConnectionIsAnsweredAfterThePortIsClosed() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      AtomicReference<Caller> caller = new AtomicReference<>();
      fixture.onLoop(
          () -> {
            caller.set(fixture.callerUnchecked());
            fixture.forwarder.stopListening();
            fixture.forwarder.stopListening();
            caller.get().sendGetUnchecked("/safe/1", "a");
          });
      try (Caller opened = caller.get()) {
        assertEquals("ran", opened.readResponse().body());
      }
    }
  }
}
