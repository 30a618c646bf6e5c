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

/** A caller's API key: looked up here, and shown to no target. */
class ApiKeyForwardingTest {
  private static ApiKeys keys(String... held) {
    Workspace choir = new Workspace("choir", OptionalInt.empty(), Quota.unlimited(), Set.of());
    return ApiKeys.builder().add(choir, List.of(held)).build();
  }

  private static ForwardingFixture fixture(ScriptedTarget target) throws Exception {
    ForwardingFixture bed = ForwardingFixture.open(target);
    bed.onLoop(() -> bed.forwarder.applyRules(ForwardingFixture.rules(2, keys("k1", "k2"))));
    return bed;
  }

  private static int status(Caller caller, String path, String headers) throws Exception {
    caller.write("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: a\r\n" + headers + "\r\n");
    return caller.readResponse().status();
  }

  private static ScriptedTarget echo() throws Exception {
    return ScriptedTarget.of(request -> request.respond(request.path()));
  }

  /** Guards against a key that reaches a target: whoever runs it could act for the workspace. */
  @Test
  void targetReceivesTheWorkspaceNameInsteadOfTheKey() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = fixture(target);
        Caller caller = bed.caller()) {
      assertEquals(200, status(caller, "/safe/1", "key: k1\r\nWorkspace: other\r\n"));
      assertEquals(200, status(caller, "/safe/1", "KEY: k2\r\nConnection: workspace\r\n"));
      for (ScriptedTarget.ReceivedRequest seen : target.receivedRequests) {
        assertEquals("choir", seen.header("Workspace"));
        assertEquals("", seen.header("Key"));
      }
    }
  }

  @Test
  void missingRepeatedOrUnknownKeyIsRefusedWithoutClosingTheConnection() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = fixture(target);
        Caller caller = bed.caller()) {
      assertEquals(401, status(caller, "/safe/1", ""));
      assertEquals(401, status(caller, "/safe/1", "Key: k9\r\n"));
      assertEquals(401, status(caller, "/safe/1", "Key: k1\r\nKey: k2\r\n"));
      assertEquals(200, status(caller, "/safe/1", "Key: k1\r\n"));
      assertEquals(1, target.receivedRequests.size());
    }
  }

  /** Guards against a forged workspace on routes that need no key. */
  @Test
  void anonymousRouteNeedsNoKeyAndIgnoresAClaimedWorkspace() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = fixture(target);
        Caller caller = bed.caller()) {
      assertEquals(200, status(caller, "/open/1", "Workspace: choir\r\n"));
      assertEquals("", target.receivedRequests.get(0).header("Workspace"));
      assertEquals(200, status(caller, "/open/1", "Key: k1\r\n"));
      assertEquals("choir", target.receivedRequests.get(1).header("Workspace"));
      assertEquals("", target.receivedRequests.get(1).header("Key"));
      assertEquals(401, status(caller, "/open/1", "Key: k9\r\n"));
    }
  }

  /** Guards against a key taken away that opens requests on connections kept from before. */
  @Test
  void revokedKeyIsRefusedOnAnOpenConnection() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = fixture(target);
        Caller caller = bed.caller()) {
      assertEquals(200, status(caller, "/safe/1", "Key: k1\r\n"));
      bed.onLoop(() -> bed.forwarder.applyRules(ForwardingFixture.rules(3, keys("k2"))));
      assertEquals(401, status(caller, "/safe/1", "Key: k1\r\n"));
      assertEquals(200, status(caller, "/safe/1", "Key: k2\r\n"));
    }
  }

  /** Guards against a request sent again by a key that was taken away after its first sending. */
  @Test
  void requestWithRevokedKeyIsNotRetried() throws Exception {
    ForwardingFixture[] opened = new ForwardingFixture[1];
    ScriptedTarget.Script refuse =
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
    ScriptedTarget one = ScriptedTarget.of(refuse);
    ScriptedTarget two = ScriptedTarget.of(refuse);
    try (ForwardingFixture bed = ForwardingFixture.open(one, two)) {
      opened[0] = bed;
      bed.onLoop(() -> bed.forwarder.applyRules(ForwardingFixture.rules(2, keys("k1"))));
      try (Caller caller = bed.caller()) {
        assertEquals(401, status(caller, "/safe/1", "Key: k1\r\n"));
      }
      assertEquals(1, one.receivedRequests.size() + two.receivedRequests.size());
    }
  }

  /** Guards against 401, which is final, for a new key at a VM that cannot have seen it. */
  @Test
  void unknownKeyIsRetryableWhileTheVmIsOutOfContact() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = fixture(target);
        Caller caller = bed.caller()) {
      bed.onLoop(() -> bed.forwarder.setStaleRulesCheck(() -> true));
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k9\r\n\r\n");
      ForwardingFixture.Response answer = caller.readResponse();
      assertEquals(503, answer.status());
      assertFalse(answer.header("Retry-After").isEmpty());
    }
  }

  @Test
  void withoutWorkspacesKeyHeadersAreForwardedUnchanged() throws Exception {
    ScriptedTarget target = echo();
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals(200, status(caller, "/safe/1", "Key: of the target\r\n"));
      assertEquals("of the target", target.receivedRequests.get(0).header("Key"));
    }
  }
}
