package org.sageladder.scenario.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Answered;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;
import org.sageladder.standin.platform.Ledger.Fate;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.RequestProfile;

/** Checks that each rule reports a day that violates it; otherwise the rule would be useless. */
class RulesTest {
  private static final String VM = "10.1.0.1";
  private static final long BASE_MILLIS = 100_000;

  private final SimulatedDay day = new SimulatedDay();
  private final Ledger ledger = day.ledger();

  private static RouteRule route(boolean idempotent) {
    return new RouteRule(
        idempotent ? "safe" : "once",
        "h",
        "/a/",
        idempotent,
        2_000,
        400,
        1,
        List.of(new ServiceShare("s", 1)),
        2,
        true,
        Set.of("north"),
        false);
  }

  private void recordSent(String id, boolean idempotent, long at) {
    RouteRule route = route(idempotent);
    ledger.recordAttempt(new Attempt(id, route, "/a/" + id, "", "north", VM, at, 3_000));
  }

  private static Arrival arrival(String id, long at) {
    return new Arrival(id, "t-1", "s", "north-a", "north", VM, at, Fate.TAKEN, true, 900, false);
  }

  private static Arrival withServiceAndRegion(Arrival from, String service, String region) {
    return new Arrival(
        from.id(),
        from.target(),
        service,
        from.zone(),
        region,
        VM,
        from.at(),
        from.fate(),
        true,
        from.deadlineMillis(),
        false);
  }

  private void recordRun(String id, int status, String body) {
    ledger.recordRunStart(id, "t-1", true, 10).recordEnd(20, status, body);
  }

  private List<String> violations(String name) {
    Rule rule =
        Rules.all().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow();
    return rule.violations(day);
  }

  private void assertViolated(String name) {
    assertFalse(violations(name).isEmpty(), name + " should be violated");
  }

  private void assertNotViolated(String name) {
    assertEquals(List.of(), violations(name));
  }

  @Test
  void ranTwice() {
    recordSent("q", false, 0);
    recordRun("q", 200, "x");
    assertNotViolated("TWICE");
    recordRun("q", 200, "x");
    assertViolated("TWICE");
  }

  @Test
  void refusedButRan() {
    recordSent("q", false, 0);
    ledger.recordAnswer(new Answered("q", 503, "", false, "q", 5));
    assertNotViolated("REFUSED");
    recordRun("q", 200, "x");
    assertViolated("REFUSED");
  }

  @Test
  void wrongBody() {
    recordSent("q", true, 0);
    recordRun("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 200, "other", true, "q", 5));
    assertViolated("MIXED");
  }

  @Test
  void malformedAnswer() {
    recordSent("q", true, 0);
    recordRun("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 5));
    assertNotViolated("MIXED");
    ledger.recordMalformedAnswer("q", "status 0");
    assertViolated("MIXED");
  }

  @Test
  void answerOfARunThatSentNoValidOne() {
    recordSent("q", true, 0);
    ledger.recordRunStart("q", "t-1", true, 10).recordEnd(20, 200, null);
    ledger.recordAnswer(new Answered("q", 200, "mine", true, "q", 5));
    assertViolated("MIXED");
  }

  @Test
  void responseWithoutSeal() {
    recordSent("q", true, 0);
    recordRun("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 200, "mine", false, "q", 5));
    assertViolated("MIXED");
  }

  @Test
  void responseWithoutId() {
    recordSent("q", true, 0);
    recordRun("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 200, "mine", true, null, 5));
    assertViolated("MIXED");
  }

  @Test
  void otherStatusThanTheTargets() {
    recordSent("q", true, 0);
    recordRun("q", 500, "mine");
    ledger.recordAnswer(new Answered("q", 200, "mine", true, "q", 5));
    assertViolated("MIXED");
  }

  @Test
  void failureWithAnotherBody() {
    recordSent("q", true, 0);
    recordRun("q", 500, "mine");
    ledger.recordAnswer(new Answered("q", 500, "min", true, "q", 5));
    assertViolated("MIXED");
  }

  @Test
  void failureOfATargetWithoutItsSeal() {
    recordSent("q", true, 0);
    recordRun("q", 500, "mine");
    ledger.recordAnswer(new Answered("q", 500, "mine", false, "q", 5));
    assertViolated("MIXED");
  }

  private void denyOnAddedRoute(int count, long sentMillis) {
    for (int i = 0; i < count; i++) {
      String id = "denied-" + sentMillis + '-' + i;
      recordSent(id, true, sentMillis);
      ledger.recordAnswer(new Answered(id, 404, "", false, id, sentMillis + 5));
    }
  }

  private void addRouteLater() {
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "once", 0);
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "safe", BASE_MILLIS);
  }

  @Test
  void addedRouteMayBeUnknownUntilItsConfigurationMustBeInForce() {
    addRouteLater();
    denyOnAddedRoute(20, BASE_MILLIS + day.bounds().configurationApplyMillis());
    assertNotViolated("DENIED");
    assertNotViolated("CONFIG denied");
    denyOnAddedRoute(1, BASE_MILLIS + day.bounds().configurationApplyMillis() + 1);
    assertViolated("CONFIG denied");
    denyOnAddedRoute(6, BASE_MILLIS + day.bounds().configurationApplyMillis() + 2);
    assertViolated("DENIED");
  }

  @Test
  void addedRouteIsNotDeniedByAVmThatHasServedIt() {
    addRouteLater();
    recordSent("served", true, BASE_MILLIS + 10);
    recordRun("served", 200, "x");
    ledger.recordAnswer(new Answered("served", 200, "x", true, "served", BASE_MILLIS + 20));
    denyOnAddedRoute(1, BASE_MILLIS + 200);
    assertNotViolated("CONFIG denied");
    denyOnAddedRoute(1, BASE_MILLIS + 400);
    assertViolated("CONFIG denied");
  }

  @Test
  void deniedRequests() {
    for (int i = 0; i < 6; i++) {
      recordSent("q" + i, true, 0);
      ledger.recordAnswer(new Answered("q" + i, 404, "", false, null, 5));
    }
    assertViolated("DENIED");
  }

  @Test
  void lostWhileUndisturbed() {
    recordSent("q", true, 0);
    recordRun("q", 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 500));
    assertViolated("LOST");
  }

  @Test
  void lostWhileVmIsInTroubleDoesNotCount() {
    recordSent("q", true, 0);
    recordRun("q", 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 500));
    day.recordTrouble(new SimulatedDay.TroubleInterval(VM, false, 400, 450));
    assertNotViolated("LOST");
  }

  /** A planned stop must wait for runs that end within the grace time, but not for longer ones. */
  @Test
  void lostInPlannedStopThatTheRunOutlasts() {
    recordSent("q", true, 1_000);
    ledger.recordRunStart("q", "t-1", true, 1_100).recordEnd(6_000, 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 2_900));
    day.recordTrouble(new SimulatedDay.TroubleInterval(VM, true, 1_000, 8_000));
    assertNotViolated("LOST");
    recordSent("r", true, 1_000);
    ledger.recordRunStart("r", "t-1", true, 1_100).recordEnd(5_900, 200, "x");
    ledger.recordAnswer(new Answered("r", 0, "", false, null, 2_900));
    assertViolated("LOST");
  }

  @Test
  void lostInPlannedStopWhileItWaitedAtItsTarget() {
    recordSent("q", true, 2_000);
    ledger.recordArrival(arrival("q", 2_100));
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 2_850));
    day.recordTrouble(new SimulatedDay.TroubleInterval(VM, true, 1_000, 8_000));
    assertViolated("LOST");
  }

  @Test
  void errorInPlaceOfARunThatAPlannedStopBrokeOff() {
    recordSent("q", true, 1_000);
    ledger.recordRunStart("q", "t-1", true, 1_100).recordEnd(1_500, 0, null);
    ledger.recordAnswer(new Answered("q", 502, "", false, "q", 1_500));
    assertNotViolated("LOST");
    day.recordTrouble(new SimulatedDay.TroubleInterval(VM, true, 1_000, 8_000));
    assertViolated("LOST");
  }

  @Test
  void alteredRequest() {
    Arrival changed =
        new Arrival("q", "t-1", "s", "north-a", "north", VM, 5, Fate.TAKEN, false, 900, false);
    ledger.recordArrival(changed);
    assertViolated("UNASKED");
  }

  @Test
  void wrongService() {
    day.allowRoute(route(true), 0);
    recordSent("q", true, 0);
    ledger.recordArrival(withServiceAndRegion(arrival("q", 5), "other", "north"));
    assertViolated("ROUTE");
  }

  @Test
  void wrongRegion() {
    recordSent("q", true, 0);
    ledger.recordArrival(withServiceAndRegion(arrival("q", 5), "s", "south"));
    assertViolated("HOME");
  }

  @Test
  void sentAfterDrain() {
    long bound = day.bounds().drainMillis();
    recordSent("q", true, BASE_MILLIS);
    ledger.recordEvent(PlatformEvent.Kind.TARGET_LEAVES, "t-1", BASE_MILLIS);
    ledger.recordArrival(arrival("q", BASE_MILLIS + bound));
    assertNotViolated("DRAIN");
    ledger.recordArrival(arrival("q", BASE_MILLIS + bound + 1));
    assertViolated("DRAIN");
    day.recordTrouble(new SimulatedDay.TroubleInterval(VM, false, BASE_MILLIS, BASE_MILLIS));
    assertNotViolated("DRAIN");
  }

  /** Guards against a check that excuses a VM for all that happened during an earlier trouble. */
  @Test
  void sentAfterDrainByAVmThatIsInContactAgain() {
    long contact = day.bounds().discoveryMillis();
    ledger.recordEvent(PlatformEvent.Kind.TARGET_LEAVES, "t-1", BASE_MILLIS);
    day.recordTrouble(
        new SimulatedDay.TroubleInterval(VM, false, BASE_MILLIS - 10, BASE_MILLIS + 10));
    long againMillis = BASE_MILLIS + 10 + contact + 1;
    recordSent("early", true, againMillis - 1);
    ledger.recordArrival(arrival("early", againMillis + 5));
    assertNotViolated("DRAIN");
    recordSent("q", true, againMillis);
    ledger.recordArrival(arrival("q", againMillis + 5));
    assertViolated("DRAIN");
    String all = SimulatedDay.ALL_ENTRY_VMS;
    day.recordTrouble(
        new SimulatedDay.TroubleInterval(all, false, BASE_MILLIS - 10, BASE_MILLIS - 10));
    assertNotViolated("DRAIN");
  }

  @Test
  void sentAfterEvacuation() {
    long bound = day.bounds().evacuateMillis();
    recordSent("q", true, BASE_MILLIS);
    ledger.recordEvent(PlatformEvent.Kind.ZONE_EMPTIED, "north-a", BASE_MILLIS);
    ledger.recordArrival(arrival("q", BASE_MILLIS + bound + 1));
    assertViolated("EVAC");
    ledger.recordEvent(PlatformEvent.Kind.ZONE_TAKEN_BACK, "north-a", BASE_MILLIS + bound);
    assertNotViolated("EVAC");
  }

  /** Guards against an excuse by a trouble that was over when what the rule is about began. */
  @Test
  void troubleBeforeARequestExcusesNothingThatChangedLater() {
    long contact = day.bounds().discoveryMillis();
    day.recordTrouble(
        new SimulatedDay.TroubleInterval(VM, false, BASE_MILLIS - 10, BASE_MILLIS - 10));
    recordSent("q", true, BASE_MILLIS);
    long changedMillis = BASE_MILLIS + contact;
    ledger.recordEvent(PlatformEvent.Kind.TARGET_LEAVES, "t-1", changedMillis);
    ledger.recordEvent(PlatformEvent.Kind.ZONE_EMPTIED, "north-a", changedMillis);
    ledger.recordArrival(arrival("q", changedMillis + day.bounds().evacuateMillis() + 1));
    assertViolated("DRAIN");
    assertViolated("EVAC");
  }

  @Test
  void staleConfiguration() {
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "safe", BASE_MILLIS);
    recordSent("q", true, BASE_MILLIS + day.bounds().configurationApplyMillis() + 1);
    ledger.recordArrival(
        withServiceAndRegion(arrival("q", BASE_MILLIS + 4_000), "before", "north"));
    assertViolated("CONFIG");
    RouteRule before = route(true).withServices(List.of(new ServiceShare("before", 1)));
    day.allowRoute(before, BASE_MILLIS - 1);
    day.allowRoute(before, BASE_MILLIS + 4_001);
    assertViolated("CONFIG");
    day.allowRoute(before, BASE_MILLIS + 4_000);
    assertNotViolated("CONFIG");
  }

  @Test
  void sentAfterCallerLeft() {
    for (int i = 0; i < 5; i++) {
      recordSent("q" + i, true, BASE_MILLIS);
      ledger.recordCallerLeft("q" + i, BASE_MILLIS + 100);
      ledger.recordArrival(arrival("q" + i, BASE_MILLIS + 700));
    }
    assertViolated("GONE");
  }

  @Test
  void runContinuesAfterCallerLeft() {
    for (int i = 0; i < 5; i++) {
      recordSent("q" + i, true, BASE_MILLIS);
      ledger.recordCallerLeft("q" + i, BASE_MILLIS + 100);
      ledger
          .recordRunStart("q" + i, "t-1", true, BASE_MILLIS + 50)
          .recordEnd(BASE_MILLIS + 700, 200, "x");
    }
    assertViolated("GONE");
  }

  /**
   * A fifth of a region's requests move to another region from one two-second window to the next.
   */
  @Test
  void shiftedTooFast() {
    sendToRegions(0, 400, 0);
    sendToRegions(2_000, 400, 56);
    assertNotViolated("SHIFT");
    sendToRegions(4_000, 400, 56 + 80);
    assertViolated("SHIFT");
    day.recordTrouble(
        new SimulatedDay.TroubleInterval(SimulatedDay.ALL_ENTRY_VMS, false, 4_000, 4_100));
    assertNotViolated("SHIFT");
  }

  @Test
  void shiftedTooFastMidWindow() {
    sendToRegions(0, 400, 0);
    sendToRegions(1_000, 400, 0);
    sendToRegions(2_000, 400, 0);
    assertNotViolated("SHIFT");
    sendToRegions(3_000, 400, 80);
    sendToRegions(4_000, 400, 80);
    assertViolated("SHIFT");
  }

  private void sendToRegions(long from, int count, int south) {
    for (int i = 0; i < count; i++) {
      String id = from + "/" + i;
      recordSent(id, true, from + i);
      Arrival arrival = arrival(id, from + i);
      boolean isSouth = (i + 1) * south / count > i * south / count;
      ledger.recordArrival(withServiceAndRegion(arrival, "s", isSouth ? "south" : "north"));
    }
  }

  @Test
  void coldOverload() {
    int most =
        (int)
            (day.coldCapacityPerSecond() * day.bounds().coldRateFactor()
                + day.bounds().coldExtraRequests());
    for (int i = 0; i < most; i++) {
      ledger.recordArrival(cold("q" + i, BASE_MILLIS));
    }
    assertNotViolated("FAILBACK");
    ledger.recordArrival(cold("q", BASE_MILLIS + 900));
    assertViolated("FAILBACK");
  }

  private static Arrival cold(String id, long at) {
    return new Arrival(id, "t-1", "s", "north-a", "north", VM, at, Fate.TAKEN, true, 900, true);
  }

  @Test
  void excessRetries() {
    for (int i = 0; i < day.bounds().extraRetries(); i++) {
      ledger.recordArrival(arrival("q", BASE_MILLIS + i));
    }
    assertNotViolated("BUDGET retries");
    ledger.recordArrival(arrival("q", BASE_MILLIS + 900));
    ledger.recordArrival(arrival("q", BASE_MILLIS + 901));
    assertViolated("BUDGET retries");
  }

  @Test
  void retryBudgetCountsRefusedRequestsToo() {
    for (int i = 0; i < 100; i++) {
      recordSent("refused" + i, true, BASE_MILLIS);
    }
    for (int i = 0; i < day.bounds().extraRetries() + 20; i++) {
      ledger.recordArrival(arrival("q", BASE_MILLIS + i));
    }
    assertNotViolated("BUDGET retries");
    ledger.recordArrival(arrival("q", BASE_MILLIS + 900));
    ledger.recordArrival(arrival("q", BASE_MILLIS + 901));
    assertViolated("BUDGET retries");
  }

  @Test
  void tooManyTargets() {
    for (int i = 0; i < 4; i++) {
      recordSent("q" + i, true, BASE_MILLIS);
      for (String target : List.of("t-1", "t-2", "t-3")) {
        ledger
            .recordRunStart("q" + i, target, true, BASE_MILLIS)
            .recordEnd(BASE_MILLIS + 1, 500, "x");
      }
    }
    assertViolated("BUDGET targets");
  }

  @Test
  void extendedDeadlines() {
    for (int i = 0; i < 21; i++) {
      recordSent("q" + i, true, BASE_MILLIS);
      ledger.recordArrival(arrival("q" + i, BASE_MILLIS + 3_000));
    }
    assertViolated("BUDGET time");
  }

  @Test
  void repeatedCrashes() {
    for (int i = 0; i < 8; i++) {
      String id = "q" + i;
      RouteRule route = route(true);
      long at = BASE_MILLIS + i * 4_000L;
      ledger.recordAttempt(new Attempt(id, route, "/a/poison", "", "north", VM, at, 3_000));
      ledger.recordArrival(arrival(id, at));
    }
    assertViolated("BUDGET crashes");
  }

  private void recordEnded(String route, int status, int times) {
    RequestProfile kind =
        new RequestProfile(
            route, "h", "/a/", true, 1, 5, 400, 1_000, 1, 1, RequestProfile.ConnectionUse.FRESH);
    for (int i = 0; i < times; i++) {
      day.requests().add(new CompletedRequest(kind, BASE_MILLIS, status, 10, "north-a"));
    }
  }

  @Test
  void addedRoutesUnderserved() {
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "first", 0);
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "first", BASE_MILLIS / 2);
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "added", BASE_MILLIS / 2);
    recordEnded("first", 200, 80);
    recordEnded("first", 503, 20);
    recordEnded("added", 200, 4);
    recordEnded("added", 503, 15);
    assertNotViolated("CONFIG added");
    recordEnded("added", 503, 2);
    assertViolated("CONFIG added");
    recordEnded("added", 200, 1);
    assertNotViolated("CONFIG added");
  }

  @Test
  void everyRuleHasItsOwnName() {
    long names = Rules.all().stream().map(Rule::name).distinct().count();
    assertTrue(names == Rules.all().size());
  }

  private void recordPassedOnRate(String id, long at) {
    ledger.recordRateLimitAnswer("t-1", VM, id);
    ledger.recordAnswer(new Answered(id, 200, "", true, id, at));
  }

  @Test
  void moreRequestsThanTheTargetsStatedRateAllowsViolateLimit() {
    ledger.startRateLimit("t-1", 1, BASE_MILLIS);
    recordPassedOnRate("told", BASE_MILLIS);
    for (int i = 0; i < 11; i++) {
      ledger.recordArrival(arrival("r-" + i, BASE_MILLIS + 3_000 + 100L * i));
    }
    assertEquals(List.of(), violations("LIMIT"));
    ledger.recordArrival(arrival("r-11", BASE_MILLIS + 6_000));
    assertViolated("LIMIT");
  }

  @Test
  void requestsOnTheirWayOrOfVmsThatWereNotToldKeepLimit() {
    ledger.startRateLimit("t-1", 0, BASE_MILLIS);
    for (int i = 0; i < 20; i++) {
      ledger.recordArrival(arrival("r-" + i, BASE_MILLIS + 3_000 + 20L * i));
    }
    assertEquals(List.of(), violations("LIMIT"));
    ledger.recordRateLimitAnswer("t-1", VM, "not-passed-on");
    recordPassedOnRate("told", BASE_MILLIS + 2_900);
    assertEquals(List.of(), violations("LIMIT"));
  }

  @Test
  void requestsSentAfterTheDrainTimeOfADrainingAnswerViolateDrain() {
    ledger.recordDrainingAnswer(new Ledger.DrainingAnswer("t-1", VM, "told"));
    recordSent("late", true, BASE_MILLIS + 2_600);
    ledger.recordArrival(arrival("late", BASE_MILLIS + 2_700));
    assertNotViolated("DRAIN answer");
    ledger.recordAnswer(new Answered("told", 200, "", true, "told", BASE_MILLIS));
    assertViolated("DRAIN answer");
  }

  @Test
  void requestsSentWithinTheDrainTimeOfADrainingAnswerKeepDrain() {
    ledger.recordDrainingAnswer(new Ledger.DrainingAnswer("t-1", VM, "told"));
    ledger.recordAnswer(new Answered("told", 200, "", true, "told", BASE_MILLIS));
    recordSent("in-time", true, BASE_MILLIS + 2_400);
    ledger.recordArrival(arrival("in-time", BASE_MILLIS + 3_000));
    assertNotViolated("DRAIN answer");
  }

  @Test
  void requestsDuringTheTimeForWhichATargetAskedForNoneViolateBudget() {
    ledger.recordBackOffAnswer(new Ledger.BackOffAnswer("t-1", VM, BASE_MILLIS, 3_000));
    ledger.recordArrival(arrival("on-the-way", BASE_MILLIS + 400));
    ledger.recordArrival(arrival("first", BASE_MILLIS + 600));
    ledger.recordArrival(arrival("second", BASE_MILLIS + 700));
    ledger.recordArrival(arrival("afterwards", BASE_MILLIS + 3_100));
    assertNotViolated("BUDGET back-off");
    ledger.recordArrival(arrival("third", BASE_MILLIS + 2_900));
    assertViolated("BUDGET back-off");
  }

  private void recordFirstTries(String vm, int count, int status) {
    for (int i = 0; i < count; i++) {
      String id = vm + status + i;
      long at = BASE_MILLIS + day.bounds().discoveryMillis();
      ledger.recordFirstTry(new Ledger.FirstTry(vm, id, at));
      ledger.recordAnswer(new Answered(id, status, "", true, id, at + 5));
    }
  }

  @Test
  void underservedAtVmsCutOffFromTargets() {
    day.recordTargetCut(
        new SimulatedDay.TargetCut(Set.of(VM), true, BASE_MILLIS, BASE_MILLIS + 10_000));
    recordFirstTries("10.1.0.2", 100, 200);
    recordFirstTries(VM, 12, 503);
    assertNotViolated("RECOVER cut");
    recordFirstTries(VM, 30, 502);
    assertViolated("RECOVER cut");
  }

  @Test
  void servedAsElsewhereAtVmsCutOffFromTargets() {
    day.recordTargetCut(
        new SimulatedDay.TargetCut(Set.of(VM), true, BASE_MILLIS, BASE_MILLIS + 10_000));
    recordFirstTries("10.1.0.2", 100, 200);
    recordFirstTries(VM, 60, 200);
    recordFirstTries(VM, 25, 503);
    assertNotViolated("RECOVER cut");
  }

  /** Records more arrivals than may exceed the deadline, on VMs whose links to targets were cut. */
  private void recordHeldUpArrivals(long statedMillis) {
    day.recordTargetCut(
        new SimulatedDay.TargetCut(Set.of(VM), true, BASE_MILLIS, BASE_MILLIS + 10_000));
    for (int i = 0; i < 50; i++) {
      String id = "held-up-" + i;
      recordSent(id, true, BASE_MILLIS);
      ledger.recordArrival(
          new Arrival(
              id,
              "t-1",
              "s",
              "north-a",
              "north",
              VM,
              BASE_MILLIS + 2_000,
              Fate.TAKEN,
              true,
              statedMillis,
              false));
    }
  }

  @Test
  void moreTimeThanTheCallersOwnCountsThoughTheRequestWasHeldUp() {
    recordHeldUpArrivals(3_600);
    assertViolated("BUDGET time");
  }

  @Test
  void timeStatedBeforeTheRequestWasHeldUpDoesNotCount() {
    recordHeldUpArrivals(2_900);
    assertNotViolated("BUDGET time");
  }
}
