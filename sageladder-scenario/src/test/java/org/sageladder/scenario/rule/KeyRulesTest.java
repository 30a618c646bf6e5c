package org.sageladder.scenario.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.core.routing.Workspace;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;

/** Checks each rule on keys and quotas against records that keep it and that violate it. */
class KeyRulesTest {
  private static final RouteRule ROUTE =
      new RouteRule(
          "r",
          "h",
          "/r/",
          true,
          2_000,
          400,
          1,
          List.of(new ServiceShare("s", 1)),
          2,
          true,
          Set.of(),
          false);

  private final SimulatedDay day = new SimulatedDay();
  private final Ledger ledger = day.ledger();

  private void recordSent(String id, String workspace, boolean everHeld, long at) {
    ledger.recordAttempt(new Ledger.Attempt(id, ROUTE, "/r/1", "", "north", "10.1.0.1", at, 2_000));
    ledger.recordCredential(id, new Ledger.Credential(workspace, "k-" + workspace, everHeld));
  }

  private void recordRun(String id, String workspace, boolean keyShown, long at) {
    ledger.recordDelivery(new Ledger.Delivery(id, workspace, keyShown, Ledger.Fate.TAKEN, at));
  }

  private static void assertViolated(List<String> violations) {
    assertFalse(violations.isEmpty());
  }

  @Test
  void wrongWorkspaceOrKeyShown() {
    recordSent("a", "choir", true, 0);
    recordRun("a", "choir", false, 1);
    assertEquals(List.of(), KeyRules.wrongWorkspace(day));
    recordRun("a", "choir", true, 2);
    assertViolated(KeyRules.wrongWorkspace(day));
    recordSent("b", "museum", true, 0);
    recordRun("b", "choir", false, 3);
    assertEquals(2, KeyRules.wrongWorkspace(day).size());
  }

  @Test
  void forgedKeyThatRuns() {
    recordSent("a", "", false, 0);
    assertEquals(List.of(), KeyRules.forgedKeys(day));
    recordRun("a", "", false, 1);
    assertViolated(KeyRules.forgedKeys(day));
  }

  @Test
  void revokedKeyThatStillWorks() {
    ledger.recordEvent(Ledger.PlatformEvent.Kind.KEY_TAKEN_AWAY, "k-choir", 10_000);
    recordSent("a", "choir", true, 12_000);
    recordRun("a", "choir", false, 12_001);
    assertEquals(List.of(), KeyRules.revokedKeys(day));
    recordSent("b", "choir", true, 12_600);
    recordRun("b", "choir", false, 12_601);
    assertViolated(KeyRules.revokedKeys(day));
  }

  @Test
  void moreThanAQuotaInAWindow() {
    day.putWorkspace(new Workspace("choir", OptionalInt.empty(), new Quota(2, 2), Set.of()));
    for (int i = 0; i < 33; i++) {
      recordRun("q" + i, "choir", false, 10_000 + 100L * i);
    }
    assertEquals(List.of(), KeyRules.exceededQuotas(day));
    recordRun("one more", "choir", false, 14_900);
    assertViolated(KeyRules.exceededQuotas(day));
  }

  @Test
  void workspaceServedFarLessThanAll() {
    for (int i = 0; i < 100; i++) {
      String id = "q" + i;
      recordSent(id, i < 30 ? "choir" : "museum", true, i);
      int status = i < 30 ? 503 : 200;
      ledger.recordAnswer(new Ledger.Answered(id, status, "", true, id, i + 5L));
    }
    assertViolated(KeyRules.starvedWorkspaces(day));
  }

  /** Guards against a workspace that counts as starved since callers go on with a revoked key. */
  @Test
  void requestsWithARevokedKeyDoNotStarveAWorkspace() {
    ledger.recordEvent(Ledger.PlatformEvent.Kind.KEY_TAKEN_AWAY, "k-choir", 50);
    for (int i = 0; i < 200; i++) {
      String id = "q" + i;
      recordSent(id, i % 2 == 0 ? "choir" : "museum", true, i);
      int status = i % 2 == 0 && i > 50 ? 401 : 200;
      ledger.recordAnswer(new Ledger.Answered(id, status, "", true, id, i + 5L));
    }
    assertEquals(List.of(), KeyRules.starvedWorkspaces(day));
  }

  @Test
  void requestsSentBeforeTheRevocationOfTheirKeyCount() {
    ledger.recordEvent(Ledger.PlatformEvent.Kind.KEY_TAKEN_AWAY, "k-choir", 50);
    for (int i = 0; i < 100; i++) {
      String id = "q" + i;
      recordSent(id, i < 30 ? "choir" : "museum", true, i);
      ledger.recordAnswer(new Ledger.Answered(id, i < 30 ? 401 : 200, "", true, id, i + 5L));
    }
    assertViolated(KeyRules.starvedWorkspaces(day));
  }
}
