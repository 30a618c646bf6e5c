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
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.Ledger;

/** For each rule on keys and quotas, a day that keeps it and one that breaks it. */
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

  private final Day day = new Day();
  private final Ledger ledger = day.ledger();

  private void sent(String id, String workspace, boolean everHeld, long at) {
    ledger.attempt(new Ledger.Attempt(id, ROUTE, "/r/1", "", "north", "10.1.0.1", at, 2_000));
    ledger.recordCredential(id, new Ledger.Credential(workspace, "k-" + workspace, everHeld));
  }

  private void ran(String id, String workspace, boolean keyShown, long at) {
    ledger.recordDelivery(new Ledger.Delivery(id, workspace, keyShown, Ledger.Fate.TAKEN, at));
  }

  private static void assertBroken(List<String> broken) {
    assertFalse(broken.isEmpty());
  }

  @Test
  void wrongWorkspaceOrKeyShown() {
    sent("a", "choir", true, 0);
    ran("a", "choir", false, 1);
    assertEquals(List.of(), KeyRules.wrongWorkspace(day));
    ran("a", "choir", true, 2);
    assertBroken(KeyRules.wrongWorkspace(day));
    sent("b", "museum", true, 0);
    ran("b", "choir", false, 3);
    assertEquals(2, KeyRules.wrongWorkspace(day).size());
  }

  @Test
  void forgedKeyThatRuns() {
    sent("a", "", false, 0);
    assertEquals(List.of(), KeyRules.forgedKeys(day));
    ran("a", "", false, 1);
    assertBroken(KeyRules.forgedKeys(day));
  }

  @Test
  void keyTakenAwayThatStillOpens() {
    ledger.recordEvent(Ledger.PlatformEvent.Kind.KEY_TAKEN_AWAY, "k-choir", 10_000);
    sent("a", "choir", true, 12_000);
    ran("a", "choir", false, 12_001);
    assertEquals(List.of(), KeyRules.keysTakenAway(day));
    sent("b", "choir", true, 12_600);
    ran("b", "choir", false, 12_601);
    assertBroken(KeyRules.keysTakenAway(day));
  }

  @Test
  void moreThanAQuotaInAWindow() {
    day.hold(new Workspace("choir", OptionalInt.empty(), new Quota(2, 2), Set.of()));
    for (int i = 0; i < 33; i++) {
      ran("q" + i, "choir", false, 10_000 + 100L * i);
    }
    assertEquals(List.of(), KeyRules.quotas(day));
    ran("one more", "choir", false, 14_900);
    assertBroken(KeyRules.quotas(day));
  }

  @Test
  void workspaceServedFarLessThanAll() {
    for (int i = 0; i < 100; i++) {
      String id = "q" + i;
      sent(id, i < 30 ? "choir" : "museum", true, i);
      int status = i < 30 ? 503 : 200;
      ledger.recordAnswer(new Ledger.Answered(id, status, "", true, id, i + 5L));
    }
    assertBroken(KeyRules.starved(day));
  }
}
