package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.ApiKeys;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.forward.ForwardingFixture.Caller;

/** API keys are checked by the entry VM and never forwarded to a target. */
class ApiKeyForwardingTest {
  private static ApiKeys keys(String... apiKeys) {
    Workspace choir = new Workspace("choir", OptionalInt.empty(), Quota.unlimited(), Set.of());
    return ApiKeys.builder().add(choir, List.of(apiKeys)).build();
  }

  private static ForwardingFixture fixture(ScriptedTarget target) throws Exception {
    ForwardingFixture fixture = ForwardingFixture.open(target);
    fixture.onLoop(
        () -> fixture.forwarder.applyRules(ForwardingFixture.rules(2, keys("k1", "k2"))));
    return fixture;
  }

  private static int status(Caller caller, String path, String headers) throws Exception {
    caller.write("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: a\r\n" + headers + "\r\n");
    return caller.readResponse().status();
  }

  private static ScriptedTarget echo() throws Exception {
    return ScriptedTarget.of(request -> request.respond(request.path()));
  }

  /**
   * Guards against a key that reaches a target, whose operator could then act for the workspace.
   */
  /** Callers take 404 as final, though another VM may already have the route. */
  @Test
  void unknownRouteWhileOutOfContactIsRefusedAsRetryable() throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open();
        Caller caller = fixture.caller()) {
      assertEquals(404, caller.exchange("/none/1", "a").status());
      fixture.onLoop(() -> fixture.forwarder.setStaleRulesCheck(() -> true));
      ForwardingFixture.Response response = caller.exchange("/none/2", "b");
      assertEquals(503, response.status());
      assertNotEquals("", response.header("Retry-After"));
    }
  }

  @Test
  void targetReceivesTheWorkspaceNameInsteadOfTheKey() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, status(caller, "/safe/1", "key: k1\r\nWorkspace: other\r\n"));
      assertEquals(200, status(caller, "/safe/1", "KEY: k2\r\nConnection: workspace\r\n"));
      for (ScriptedTarget.ReceivedRequest request : target.receivedRequests) {
        assertEquals("choir", request.header("Workspace"));
        assertEquals("", request.header("Key"));
      }
    }
  }

  @Test
  void missingRepeatedOrUnknownKeyIsRefusedWithoutClosingTheConnection() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      assertEquals(401, status(caller, "/safe/1", ""));
      assertEquals(401, status(caller, "/safe/1", "Key: k9\r\n"));
      assertEquals(401, status(caller, "/safe/1", "Key: k1\r\nKey: k2\r\n"));
      assertEquals(200, status(caller, "/safe/1", "Key: k1\r\n"));
      assertEquals(1, target.receivedRequests.size());
    }
  }

  /** Guards against a forged workspace header on routes that require no key. */
  @Test
  void anonymousRouteNeedsNoKeyAndIgnoresAClaimedWorkspace() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, status(caller, "/open/1", "Workspace: choir\r\n"));
      assertEquals("", target.receivedRequests.get(0).header("Workspace"));
      assertEquals(200, status(caller, "/open/1", "Key: k1\r\n"));
      assertEquals("choir", target.receivedRequests.get(1).header("Workspace"));
      assertEquals("", target.receivedRequests.get(1).header("Key"));
      assertEquals(401, status(caller, "/open/1", "Key: k9\r\n"));
    }
  }

  /** Guards against a revoked key that still works on open connections. */
  @Test
  void revokedKeyIsRefusedOnAnOpenConnection() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, status(caller, "/safe/1", "Key: k1\r\n"));
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(3, keys("k2"))));
      assertEquals(401, status(caller, "/safe/1", "Key: k1\r\n"));
      assertEquals(200, status(caller, "/safe/1", "Key: k2\r\n"));
    }
  }

  /** Guards against a retry with a key that was revoked after the first attempt. */
  @Test
  void requestWithRevokedKeyIsNotRetried() throws Exception {
    ForwardingFixture[] opened = new ForwardingFixture[1];
    ScriptedTarget.Script refuseAfterRevoking =
        request -> {
          try {
            opened[0].onLoop(
                () -> opened[0].forwarder.applyRules(ForwardingFixture.rules(3, keys("k2"))));
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
          request.write(
              "HTTP/1.1 503 Busy\r\nId: "
                  + request.header("Id")
                  + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        };
    ScriptedTarget one = ScriptedTarget.of(refuseAfterRevoking);
    ScriptedTarget two = ScriptedTarget.of(refuseAfterRevoking);
    try (ForwardingFixture fixture = ForwardingFixture.open(one, two)) {
      opened[0] = fixture;
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(2, keys("k1"))));
      try (Caller caller = fixture.caller()) {
        assertEquals(401, status(caller, "/safe/1", "Key: k1\r\n"));
      }
      assertEquals(1, one.receivedRequests.size() + two.receivedRequests.size());
    }
  }

  /**
   * Guards against a 401, which callers treat as final, for a new key at a VM that cannot have
   * received it yet.
   */
  @Test
  void unknownKeyIsRetryableWhileTheVmIsOutOfContact() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = fixture(target);
        Caller caller = fixture.caller()) {
      fixture.onLoop(() -> fixture.forwarder.setStaleRulesCheck(() -> true));
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k9\r\n\r\n");
      ForwardingFixture.Response response = caller.readResponse();
      assertEquals(503, response.status());
      assertFalse(response.header("Retry-After").isEmpty());
    }
  }

  @Test
  void withoutWorkspacesKeyHeadersAreForwardedUnchanged() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, status(caller, "/safe/1", "Key: of the target\r\n"));
      assertEquals("of the target", target.receivedRequests.get(0).header("Key"));
    }
  }
}
