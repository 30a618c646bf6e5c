package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** An entry VM's planned stop cuts nothing off. */
class ShutdownTest {
  /**
   * An auction house sends two pulls at once, then the VM is told to stop. The first answer closed
   * the connection while the second pull was at its target, and the house got nothing for it.
   */
  @Test
  void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses() throws Exception {
    CountDownLatch leaving = new CountDownLatch(1);
    CountDownLatch both = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              both.countDown();
              leaving.await();
              request.respond(request.header("Id"));
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      caller.sendGet("/safe/1", "a");
      caller.sendGet("/safe/2", "b");
      assertTrue(both.await(60, TimeUnit.SECONDS));
      bed.onLoop(() -> bed.forwarder.beginShutdown(60_000));
      leaving.countDown();
      Response first = caller.readResponse();
      assertEquals("a", first.body());
      assertEquals("", first.header("Connection"));
      Response second = caller.readResponse();
      assertEquals("b", second.body());
      assertEquals("close", second.header("Connection"));
      assertTrue(caller.isClosedByPeer());
    }
  }

  /** The kernel closes the port a moment after it was told to; from then on it stays closed. */
  private static void awaitConnectionRefused(ForwardingFixture bed) throws InterruptedException {
    try {
      while (true) {
        bed.caller().close();
        Thread.sleep(5);
      }
    } catch (IOException refused) {
      return;
    }
  }

  /**
   * A scholar's recording is asked for while the VM stops, and waits at its target when the time is
   * over: the connection closed without an answer. Told at once that it has not run, it is fetched
   * elsewhere.
   */
  @Test
  void requestThatCannotFinishBeforeTheStopIsRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      bed.onLoop(() -> bed.forwarder.beginShutdown(100));
      Response answer = caller.exchange("/safe/1", "a");
      assertEquals(503, answer.status());
      assertEquals("close", answer.header("Connection"));
      assertEquals(0, target.receivedRequests.size());
    }
  }

  /**
   * A request in flight when the VM stops listening gets its answer; new connections are refused.
   */
  @Test
  void inFlightRequestFinishesAfterThePortIsClosed() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              closed.await();
              request.respond("whole");
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      caller.sendGet("/safe/1", "a");
      assertTrue(target.firstRequest.await(60, TimeUnit.SECONDS));
      bed.onLoop(
          () -> {
            bed.forwarder.beginShutdown(60_000);
            bed.forwarder.stopListening();
          });
      awaitConnectionRefused(bed);
      closed.countDown();
      assertEquals("whole", caller.readResponse().body());
    }
  }
}
