package org.sageladder.scenario.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Answered;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;
import org.sageladder.standin.platform.Ledger.Fate;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.RequestProfile;

/** Each rule finds a day that breaks it: a check that cannot fail would prove nothing. */
class RulesTest {
  private static final String VM = "10.1.0.1";
  private static final long LATE = 100_000;

  private final Day day = new Day();
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

  private void asked(String id, boolean idempotent, long at) {
    RouteRule route = route(idempotent);
    ledger.attempt(new Attempt(id, route, "/a/" + id, "", "north", VM, at, 3_000));
  }

  private static Arrival arrival(String id, long at) {
    return new Arrival(id, "t-1", "s", "north-a", "north", VM, at, Fate.TAKEN, true, 900, false);
  }

  private static Arrival in(Arrival from, String service, String region) {
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

  private void ran(String id, int status, String body) {
    ledger.recordRunStart(id, "t-1", true, 10).recordEnd(20, status, body);
  }

  private List<String> broken(String name) {
    Rule rule =
        Rules.all().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow();
    return rule.broken(day);
  }

  private void assertBroken(String name) {
    assertFalse(broken(name).isEmpty(), name + " should be broken");
  }

  private void assertKept(String name) {
    assertEquals(List.of(), broken(name));
  }

  @Test
  void twice() {
    asked("q", false, 0);
    ran("q", 200, "x");
    assertKept("TWICE");
    ran("q", 200, "x");
    assertBroken("TWICE");
  }

  @Test
  void refused() {
    asked("q", false, 0);
    ledger.recordAnswer(new Answered("q", 503, "", false, "q", 5));
    assertKept("REFUSED");
    ran("q", 200, "x");
    assertBroken("REFUSED");
  }

  @Test
  void mixed() {
    asked("q", true, 0);
    ran("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 200, "other", true, "q", 5));
    assertBroken("MIXED");
  }

  @Test
  void mixedWithoutTheSeal() {
    asked("q", true, 0);
    ran("q", 200, "mine");
    ledger.recordAnswer(new Answered("q", 200, "mine", false, "q", 5));
    assertBroken("MIXED");
  }

  @Test
  void denied() {
    for (int i = 0; i < 6; i++) {
      asked("q" + i, true, 0);
      ledger.recordAnswer(new Answered("q" + i, 404, "", false, null, 5));
    }
    assertBroken("DENIED");
  }

  @Test
  void lostInCalm() {
    asked("q", true, 0);
    ran("q", 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 500));
    assertBroken("LOST");
  }

  @Test
  void lostWhileAMachineIsInTroubleDoesNotCount() {
    asked("q", true, 0);
    ran("q", 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 500));
    day.trouble(new Day.Span(VM, false, 400, 450));
    assertKept("LOST");
  }

  /** A run longer than the grace time cannot be waited for; a shorter one must be. */
  @Test
  void lostInAPlannedStopThatTheRunOutlasts() {
    asked("q", true, 1_000);
    ledger.recordRunStart("q", "t-1", true, 1_100).recordEnd(6_000, 200, "x");
    ledger.recordAnswer(new Answered("q", 0, "", false, null, 2_900));
    day.trouble(new Day.Span(VM, true, 1_000, 8_000));
    assertKept("LOST");
    asked("r", true, 1_000);
    ledger.recordRunStart("r", "t-1", true, 1_100).recordEnd(5_900, 200, "x");
    ledger.recordAnswer(new Answered("r", 0, "", false, null, 2_900));
    assertBroken("LOST");
  }

  @Test
  void unasked() {
    Arrival changed =
        new Arrival("q", "t-1", "s", "north-a", "north", VM, 5, Fate.TAKEN, false, 900, false);
    ledger.recordArrival(changed);
    assertBroken("UNASKED");
  }

  @Test
  void wrongService() {
    day.allow(route(true));
    asked("q", true, 0);
    ledger.recordArrival(in(arrival("q", 5), "other", "north"));
    assertBroken("ROUTE");
  }

  @Test
  void wrongRegion() {
    asked("q", true, 0);
    ledger.recordArrival(in(arrival("q", 5), "s", "south"));
    assertBroken("HOME");
  }

  @Test
  void leaving() {
    long bound = day.bounds().drainMillis();
    asked("q", true, LATE);
    ledger.recordEvent(PlatformEvent.Kind.TARGET_LEAVES, "t-1", LATE);
    ledger.recordArrival(arrival("q", LATE + bound));
    assertKept("DRAIN");
    ledger.recordArrival(arrival("q", LATE + bound + 1));
    assertBroken("DRAIN");
    day.trouble(new Day.Span(VM, false, LATE, LATE));
    assertKept("DRAIN");
  }

  @Test
  void emptied() {
    long bound = day.bounds().evacuateMillis();
    asked("q", true, LATE);
    ledger.recordEvent(PlatformEvent.Kind.ZONE_EMPTIED, "north-a", LATE);
    ledger.recordArrival(arrival("q", LATE + bound + 1));
    assertBroken("EVAC");
    ledger.recordEvent(PlatformEvent.Kind.ZONE_TAKEN_BACK, "north-a", LATE + bound);
    assertKept("EVAC");
  }

  @Test
  void olderConfiguration() {
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "safe", LATE);
    asked("q", true, LATE + day.bounds().configurationApplyMillis() + 1);
    ledger.recordArrival(in(arrival("q", LATE + 4_000), "before", "north"));
    assertBroken("CONFIG");
  }

  @Test
  void gone() {
    for (int i = 0; i < 5; i++) {
      asked("q" + i, true, LATE);
      ledger.recordCallerLeft("q" + i, LATE + 100);
      ledger.recordArrival(arrival("q" + i, LATE + 700));
    }
    assertBroken("GONE");
  }

  @Test
  void goneThoughItsRunGoesOn() {
    for (int i = 0; i < 5; i++) {
      asked("q" + i, true, LATE);
      ledger.recordCallerLeft("q" + i, LATE + 100);
      ledger.recordRunStart("q" + i, "t-1", true, LATE + 50).recordEnd(LATE + 700, 200, "x");
    }
    assertBroken("GONE");
  }

  /** A fifth of a region's requests run elsewhere from one span of two seconds to the next. */
  @Test
  void shiftedTooFast() {
    sentTo(0, 400, 0);
    sentTo(2_000, 400, 56);
    assertKept("SHIFT");
    sentTo(4_000, 400, 56 + 80);
    assertBroken("SHIFT");
    day.trouble(new Day.Span(Day.EVERYWHERE, false, 4_000, 4_100));
    assertKept("SHIFT");
  }

  @Test
  void shiftedTooFastInTheMiddleOfASpan() {
    sentTo(0, 400, 0);
    sentTo(1_000, 400, 0);
    sentTo(2_000, 400, 0);
    assertKept("SHIFT");
    sentTo(3_000, 400, 80);
    sentTo(4_000, 400, 80);
    assertBroken("SHIFT");
  }

  private void sentTo(long from, int count, int south) {
    for (int i = 0; i < count; i++) {
      String id = from + "/" + i;
      asked(id, true, from + i);
      Arrival arrival = arrival(id, from + i);
      boolean isSouth = (i + 1) * south / count > i * south / count;
      ledger.recordArrival(in(arrival, "s", isSouth ? "south" : "north"));
    }
  }

  @Test
  void coldRate() {
    int most =
        (int)
            (day.coldPerSecond() * day.bounds().coldRateFactor()
                + day.bounds().coldExtraRequests());
    for (int i = 0; i < most; i++) {
      ledger.recordArrival(cold("q" + i, LATE));
    }
    assertKept("FAILBACK");
    ledger.recordArrival(cold("q", LATE + 900));
    assertBroken("FAILBACK");
  }

  private static Arrival cold(String id, long at) {
    return new Arrival(id, "t-1", "s", "north-a", "north", VM, at, Fate.TAKEN, true, 900, true);
  }

  @Test
  void secondSends() {
    for (int i = 0; i < day.bounds().extraRetries(); i++) {
      ledger.recordArrival(arrival("q", LATE + i));
    }
    assertKept("BUDGET retries");
    ledger.recordArrival(arrival("q", LATE + 900));
    ledger.recordArrival(arrival("q", LATE + 901));
    assertBroken("BUDGET retries");
  }

  @Test
  void secondSendsAreMeasuredByAllRequestsAlsoThoseThatWereRefused() {
    for (int i = 0; i < 100; i++) {
      asked("refused" + i, true, LATE);
    }
    for (int i = 0; i < day.bounds().extraRetries() + 20; i++) {
      ledger.recordArrival(arrival("q", LATE + i));
    }
    assertKept("BUDGET retries");
    ledger.recordArrival(arrival("q", LATE + 900));
    ledger.recordArrival(arrival("q", LATE + 901));
    assertBroken("BUDGET retries");
  }

  @Test
  void mostTargets() {
    for (int i = 0; i < 4; i++) {
      asked("q" + i, true, LATE);
      for (String target : List.of("t-1", "t-2", "t-3")) {
        ledger.recordRunStart("q" + i, target, true, LATE).recordEnd(LATE + 1, 500, "x");
      }
    }
    assertBroken("BUDGET targets");
  }

  @Test
  void deadlines() {
    for (int i = 0; i < 21; i++) {
      asked("q" + i, true, LATE);
      ledger.recordArrival(arrival("q" + i, LATE + 3_000));
    }
    assertBroken("BUDGET time");
  }

  @Test
  void crashingRequests() {
    for (int i = 0; i < 8; i++) {
      String id = "q" + i;
      RouteRule route = route(true);
      long at = LATE + i * 4_000L;
      ledger.attempt(new Attempt(id, route, "/a/poison", "", "north", VM, at, 3_000));
      ledger.recordArrival(arrival(id, at));
    }
    assertBroken("BUDGET crashes");
  }

  private void ended(String route, int status, int times) {
    RequestProfile kind =
        new RequestProfile(
            route, "h", "/a/", true, 1, 5, 400, 1_000, 1, 1, RequestProfile.ConnectionUse.FRESH);
    for (int i = 0; i < times; i++) {
      day.requests().add(new CompletedRequest(kind, LATE, status, 10, "north-a"));
    }
  }

  @Test
  void addedRoutesNotServed() {
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "first", 0);
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "first", LATE / 2);
    ledger.recordEvent(PlatformEvent.Kind.CONFIGURATION, "added", LATE / 2);
    ended("first", 200, 80);
    ended("first", 503, 20);
    ended("added", 200, 4);
    ended("added", 503, 15);
    assertKept("CONFIG added");
    ended("added", 503, 2);
    assertBroken("CONFIG added");
    ended("added", 200, 1);
    assertKept("CONFIG added");
  }

  @Test
  void everyRuleHasItsOwnName() {
    long names = Rules.all().stream().map(Rule::name).distinct().count();
    assertTrue(names == Rules.all().size());
  }
}
