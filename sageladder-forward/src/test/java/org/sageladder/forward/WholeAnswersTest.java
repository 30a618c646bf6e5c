package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingBed.Answer;
import org.sageladder.forward.ForwardingBed.Caller;

/** Each caller gets the whole answer to its own request, or none that looks like it. */
class WholeAnswersTest {
  /**
   * A collector sees another lot's page: a target sent a second answer late, on a kept connection,
   * just where the next request's answer is due. The id in the answer tells them apart.
   */
  @Test
  void aSecondAnswerDoesNotReachTheNextCaller() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.onConnection() > 1) {
                request.write(ScriptedTarget.whole("a", "late"));
              }
              request.answer("for " + request.header("Id"));
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      assertEquals("for a", caller.ask("/safe/1", "a").body());
      assertEquals("for b", caller.ask("/safe/1", "b").body());
      assertEquals("for c", caller.ask("/safe/1", "c").body());
    }
  }

  /**
   * An export arrives short and looks complete: an answer without length ends with its connection,
   * and that connection was reset. Another target's whole answer is given instead.
   */
  @Test
  void anAnswerWithoutLengthThatIsResetIsNotComplete() throws Exception {
    ScriptedTarget breaking =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSeal: s\r\n\r\nshor");
              Thread.sleep(100);
              request.reset();
            });
    try (ForwardingBed bed = ForwardingBed.open(breaking);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.ask("/safe/1", "a").status());
    }
  }

  @Test
  void anAnswerWithoutLengthThatEndsInOrderIsComplete() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSeal: s\r\n\r\nall");
              request.connection().close();
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      Answer answer = caller.ask("/safe/1", "a");
      assertEquals(200, answer.status());
      assertEquals("all", answer.body());
    }
  }

  /**
   * A target breaks its answer off; the request may be repeated, so another target answers whole.
   */
  @Test
  void aBrokenAnswerIsReplacedByAnotherTargets() throws Exception {
    CountDownLatch broken = new CountDownLatch(1);
    ScriptedTarget.Script script =
        request -> {
          if (broken.getCount() > 0) {
            broken.countDown();
            request.write(ScriptedTarget.whole(request.header("Id"), "12345678").substring(0, 60));
            request.connection().close();
            return;
          }
          request.answer("whole");
        };
    try (ForwardingBed bed =
            ForwardingBed.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = bed.caller()) {
      assertEquals("whole", caller.ask("/safe/1", "a").body());
    }
  }

  /** A success that no target made, or whose body was changed on its way, is no success. */
  @Test
  void aSuccessWithoutASealIsNotPassedOn() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.ask("/once/1", "a").status());
    }
  }

  /** Bytes that are no answer are not passed on, and the connection is not used again. */
  @Test
  void bytesThatAreNoAnswerAreNotPassedOn() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.write("\u0001\u0002 nonsense\r\n\r\n"));
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.ask("/once/1", "a").status());
    }
  }

  /**
   * A caller sends three requests at once; the second target is quicker than the first. Answers
   * come in the order of the requests all the same.
   */
  @Test
  void answersComeInTheOrderOfTheRequests() throws Exception {
    CountDownLatch others = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.path().endsWith("slow")) {
                others.await();
              }
              request.answer(request.path());
              others.countDown();
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      caller.get("/safe/slow", "a");
      caller.get("/safe/2", "b");
      caller.get("/safe/3", "c");
      assertEquals("/safe/slow", caller.read().body());
      assertEquals("/safe/2", caller.read().body());
      assertEquals("/safe/3", caller.read().body());
    }
  }

  /**
   * A target answers a long body early and keeps its connection, still reading. Used again, the
   * next request would be read as the rest of that body.
   */
  @Test
  void anEarlyAnswerToALongBodyEndsTheConnection() throws Exception {
    ScriptedTarget target = ScriptedTarget.early(request -> request.answer("early"));
    try (ForwardingBed bed = ForwardingBed.open(target)) {
      try (Caller caller = bed.caller()) {
        caller.write(
            "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 900000\r\n\r\n"
                + "x".repeat(200_000));
        assertEquals("early", caller.read().body());
        assertTrue(caller.isAtEnd(), "the rest of the body would be read as a request");
      }
      try (Caller next = bed.caller()) {
        assertEquals("early", next.ask("/safe/1", "b").body());
      }
      assertEquals(1, target.received.get(1).onConnection());
    }
  }

  /** A large answer that breaks off in the middle reaches its caller as a broken connection. */
  @Test
  void aLargeAnswerThatBreaksOffDoesNotLookComplete() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String whole = ScriptedTarget.whole(request.header("Id"), "x".repeat(2_000_000));
              request.write(whole.substring(0, 1_000_000));
              request.connection().close();
            });
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      caller.get("/safe/1", "a");
      assertThrows(IOException.class, caller::read);
    }
  }

  @Test
  void aLargeAnswerArrivesWhole() throws Exception {
    String body = "0123456789".repeat(300_000);
    ScriptedTarget target = ScriptedTarget.of(request -> request.answer(body));
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      assertEquals(body, caller.ask("/safe/1", "a").body());
      assertEquals(body, caller.ask("/safe/1", "b").body());
    }
  }
}
