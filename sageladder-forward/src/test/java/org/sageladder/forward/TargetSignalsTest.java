package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a target states in an answer takes effect for the next request. */
class TargetSignalsTest {
  private static ScriptedTarget answering(String status, String headers) throws Exception {
    return ScriptedTarget.of(
        request ->
            request.write(
                "HTTP/1.1 "
                    + status
                    + "\r\nId: "
                    + request.header("Id")
                    + "\r\n"
                    + headers
                    + "Content-Length: 0\r\n\r\n"));
  }

  /** Sends requests one after the other; returns how many the target received. */
  private static int receivedOf(ScriptedTarget target, int requests) throws Exception {
    try (ScriptedTarget other = answering("200 OK", "Seal: s\r\n");
        ForwardingFixture fixture = ForwardingFixture.open(target, other);
        ForwardingFixture.Caller caller = fixture.caller()) {
      for (int i = 0; i < requests; i++) {
        assertEquals(200, caller.exchange("/safe/" + i, "r-" + i).status());
      }
      return target.receivedRequests.size();
    }
  }

  @Test
  void targetThatStatesNothingGetsFurtherRequests() throws Exception {
    assertEquals(6, receivedOf(answering("200 OK", "Seal: s\r\n"), 6));
  }

  @Test
  void drainingTargetGetsNoFurtherRequestOnItsKeptConnection() throws Exception {
    assertEquals(1, receivedOf(answering("200 OK", "Seal: s\r\nDraining: 1\r\n"), 6));
  }

  @Test
  void limitedTargetGetsNoFurtherRequest() throws Exception {
    assertEquals(1, receivedOf(answering("200 OK", "Seal: s\r\nLimit: 0\r\n"), 6));
  }

  @Test
  void targetThatAskedForNoRequestsGetsNone() throws Exception {
    assertEquals(
        1, receivedOf(answering("503 Unavailable", "Not-Run: 1\r\nBack-Off: 60000\r\n"), 6));
  }

  @Test
  void requestIsRefusedAtOnceWhileTheOnlyTargetWantsNone() throws Exception {
    try (ScriptedTarget target = answering("503 Unavailable", "Not-Run: 1\r\nBack-Off: 60000\r\n");
        ForwardingFixture fixture = ForwardingFixture.open(target);
        ForwardingFixture.Caller caller = fixture.caller()) {
      assertEquals(503, caller.exchange("/safe/1", "r-1").status());
      assertEquals(503, caller.exchange("/once/2", "r-2").status());
      assertEquals(1, target.receivedRequests.size());
      assertEquals(1, countOf(fixture, "no_target_all_backed_off"));
    }
  }

  /** Another target has the address by now; what it states is not about the intended one. */
  @Test
  void signalsOfMisdirectedAnswersAreIgnored() throws Exception {
    try (ScriptedTarget target = answering("421 Misdirected", "Draining: 1\r\n");
        ForwardingFixture fixture = ForwardingFixture.open(target);
        ForwardingFixture.Caller caller = fixture.caller()) {
      assertEquals(503, caller.exchange("/safe/1", "r-1").status());
      assertEquals(0, countOf(fixture, "target_drains_in_answers"));
    }
  }

  private static int countOf(ForwardingFixture fixture, String counter) {
    return (int) fixture.metrics.text().lines().filter(line -> line.contains(counter)).count();
  }
}
