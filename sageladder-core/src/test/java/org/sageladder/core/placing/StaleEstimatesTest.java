package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;

/** What was guessed, or held once, gives way to what is measured now. */
class StaleEstimatesTest {
  private static final LoadReport IDLE = new LoadReport(0, 0, 3);
  private static final LoadReport FULL = new LoadReport(3, 9, 3);

  private final PlacementFixture fixture = new PlacementFixture().withTarget("n-1", "n1", "north");

  private static RouteRule route(String name, String service, long goalMillis) {
    RouteRule template = PlacementFixture.route(Set.of());
    return new RouteRule(
        name,
        template.host(),
        '/' + name + '/',
        true,
        template.timeoutMillis(),
        goalMillis,
        template.priority(),
        List.of(new ServiceShare(service, 1)),
        2,
        true,
        Set.of(),
        template.anonymous());
  }

  private static PlacementRequest request(RouteRule route, long object, long remainingMillis) {
    return new PlacementRequest(route, route.services().get(0).service(), object, remainingMillis);
  }

  private Send send(PlacementRequest request) {
    PlacementDecision decision =
        fixture.placement.place(request, PlacementFixture.SERVICE, Set.of(), fixture.now);
    return assertInstanceOf(Send.class, decision);
  }

  private void completeRequests(RouteRule route, int times, long millis, LoadReport load) {
    for (int i = 0; i < times; i++) {
      PlacementRequest request = request(route, i, 10_000);
      Send send = send(request);
      fixture.placement.recordSent(send, fixture.now);
      send.target().endRequest();
      send.target().recordReport(load, fixture.now);
      fixture.placement.recordAnswer(request, send, (double) millis, load, fixture.now);
    }
  }

  private TargetState target(String id) {
    return fixture.targets.find(id).orElseThrow();
  }

  /**
   * Bids have a second; after a rush each entry VM remembers the queues that it was told of last.
   * Nothing is sent, so nothing newer is ever told: the service stands idle and everybody is
   * refused for good.
   */
  @Test
  void targetWithStaleFullReportIsTriedAgain() {
    RouteRule bid = route("bid", "search", 400);
    completeRequests(bid, 20, 1_600, FULL);
    fixture.now += 60_000;
    send(request(bid, 1, 1_000));
  }

  /**
   * An operator adds a route with a goal of 1,000 ms whose runs take 5 ms. By the guess of 1,500 ms
   * each target that ran it seemed twice as fast as it was, and drew the requests of all routes.
   */
  @Test
  void overestimatedRunTimeDoesNotMakeTargetSeemFast() {
    completeRequests(route("first", "search", 400), 100, 250, IDLE);
    double before = target("n-1").slowness();
    completeRequests(route("added", "search", 1_000), 5, 5, IDLE);
    assertEquals(before, target("n-1").slowness(), 0.1);
  }

  /** The same where the guess is too short: requests of all routes left targets that were well. */
  @Test
  void underestimatedRunTimeDoesNotMakeTargetSeemSlow() {
    completeRequests(route("first", "search", 400), 100, 250, IDLE);
    double before = target("n-1").slowness();
    completeRequests(route("added", "search", 400), 5, 2_400, IDLE);
    assertEquals(before, target("n-1").slowness(), 0.1);
  }

  /**
   * Operators move a route from a service that answers in 5 ms to one that takes 500 ms. The runs
   * of the former service went on counting: targets of the latter seemed twelve times slower than
   * usual after their first answer, and the requests of its other routes left them.
   */
  @Test
  void routeMovedToAnotherServiceIsMeasuredAnew() {
    RouteRule before = route("moved", "search", 400);
    completeRequests(before, 100, 5, IDLE);
    RouteRule after = route("moved", "ledger", 400);
    TargetIncarnation incarnation = new TargetIncarnation("l-1", 0);
    fixture.targets.put(
        new TargetFacts(incarnation, 0, "ledger", "10.0.0.2", 80, "n1", "north", 3, false, 0),
        fixture.now);
    assertTrue(
        send(request(after, 1, 10_000)).expectedRunMillis() > 100, "runs of the former service");
    completeRequests(after, 5, 500, IDLE);
    assertEquals(1, target("l-1").slowness(), 0.1);
  }
}
