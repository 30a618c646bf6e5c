package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.ApiKeys;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.forward.ForwardingFixture.Caller;

/** The quota of a workspace on one entry VM. */
class QuotaForwardingTest {
  /** One token per thousand seconds: none is added while a test runs. */
  private static final Quota BURST_OF_TWO = new Quota(0.001, 2);

  private static ForwardingFixture fixture(ScriptedTarget... targets) throws Exception {
    ApiKeys keys =
        ApiKeys.builder()
            .add(new Workspace("choir", OptionalInt.empty(), BURST_OF_TWO, Set.of()), List.of("k1"))
            .add(
                new Workspace("museum", OptionalInt.empty(), Quota.unlimited(), Set.of()),
                List.of("k2"))
            .build();
    ForwardingFixture fixture = ForwardingFixture.open(targets);
    fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(2, keys)));
    return fixture;
  }

  private static ForwardingFixture.Response exchange(Caller caller, String path, String key)
      throws Exception {
    caller.write("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: " + key + "\r\n\r\n");
    return caller.readResponse();
  }

  @Test
  void requestOverQuotaIsRefusedWithoutAffectingOtherWorkspaces() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("song"));
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, exchange(caller, "/safe/1", "k1").status());
      assertEquals(200, exchange(caller, "/safe/2", "k1").status());
      ForwardingFixture.Response refused = exchange(caller, "/safe/3", "k1");
      assertEquals(429, refused.status());
      assertFalse(refused.header("Retry-After").isEmpty());
      assertEquals(200, exchange(caller, "/safe/4", "k2").status());
      assertEquals(3, target.receivedRequests.size());
    }
  }

  /** Guards against quota that is spent on requests that targets refused to run. */
  @Test
  void quotaIsRefundedForRequestsThatDidNotRun() throws Exception {
    ScriptedTarget full =
        ScriptedTarget.of(
            request ->
                request.write(
                    "HTTP/1.1 503 Busy\r\nId: "
                        + request.header("Id")
                        + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"));
    try (ForwardingFixture fixture = fixture(full);
        Caller caller = fixture.caller()) {
      for (int i = 0; i < 5; i++) {
        assertEquals(503, exchange(caller, "/safe/" + i, "k1").status());
      }
    }
  }
}
