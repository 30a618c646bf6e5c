package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingBed.Answer;
import org.sageladder.forward.ForwardingBed.Caller;

/** An entry VM's planned stop cuts nothing off. */
class LeavingTest {
  /**
   * An auction house sends two pulls at once, then the VM is told to stop. The first answer closed
   * the connection while the second pull was at its target, and the house got nothing for it.
   */
  @Test
  void requestsBehindOneAnotherAreAllAnsweredBeforeTheConnectionCloses() throws Exception {
    CountDownLatch leaving = new CountDownLatch(1);
    CountDownLatch both = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              both.countDown();
              leaving.await();
              request.answer(request.header("Id"));
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      caller.get("/safe/1", "a");
      caller.get("/safe/2", "b");
      assertTrue(both.await(60, TimeUnit.SECONDS));
      bed.onLoop(() -> bed.forwarder.leave(60_000));
      leaving.countDown();
      Answer first = caller.read();
      assertEquals("a", first.body());
      assertEquals("", first.header("Connection"));
      Answer second = caller.read();
      assertEquals("b", second.body());
      assertEquals("close", second.header("Connection"));
      assertTrue(caller.isAtEnd());
    }
  }

  /** The kernel closes the port a moment after it was told to; from then on it stays closed. */
  private static void awaitRefused(ForwardingBed bed) throws InterruptedException {
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
  void whatCannotEndBeforeTheStopIsRefusedAtOnce() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.answer("ran"));
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      bed.onLoop(() -> bed.forwarder.leave(100));
      Answer answer = caller.ask("/safe/1", "a");
      assertEquals(503, answer.status());
      assertEquals("close", answer.header("Connection"));
      assertEquals(0, target.received.size());
    }
  }

  /**
   * A request in flight when the VM stops listening gets its answer; new connections are refused.
   */
  @Test
  void aRequestInFlightEndsThoughThePortIsClosed() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              closed.await();
              request.answer("whole");
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      caller.get("/safe/1", "a");
      assertTrue(target.first.await(60, TimeUnit.SECONDS));
      bed.onLoop(
          () -> {
            bed.forwarder.leave(60_000);
            bed.forwarder.stopListening();
          });
      awaitRefused(bed);
      closed.countDown();
      assertEquals("whole", caller.read().body());
    }
  }
}
