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

/** Tests that default and outdated estimates are replaced by newer measurements. */
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

  private PlacementDecision place(PlacementRequest request) {
    return fixture.placement.place(request, PlacementFixture.SERVICE, Set.of(), fixture.now);
  }

  private Send send(PlacementRequest request) {
    return assertInstanceOf(Send.class, place(request));
  }

  private void completeRequests(RouteRule route, int times, long millis, LoadReport load) {
    for (int i = 0; i < times; i++) {
      PlacementRequest request = request(route, i, 10_000);
      Send send = PlacementFixture.chosenTarget(place(request));
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
   * Guards against permanent refusal after a load peak. Requests with a timeout of a second were
   * refused by the queue lengths reported last. Nothing was sent, so no newer report was received,
   * and the idle service refused every request.
   */
  @Test
  void targetWithStaleFullReportIsTriedAgain() {
    RouteRule bid = route("bid", "search", 400);
    completeRequests(bid, 20, 1_600, FULL);
    fixture.now += 60_000;
    send(request(bid, 1, 1_000));
  }

  /**
   * An operator adds a route with a latency goal of 1,000 ms and runs of 5 ms. Compared with the
   * default estimate of 1,500 ms, each target that ran it seemed twice as fast as it was and
   * attracted the requests of all routes.
   */
  @Test
  void overestimatedRunTimeDoesNotMakeTargetSeemFast() {
    completeRequests(route("first", "search", 400), 100, 250, IDLE);
    double before = target("n-1").slowness();
    completeRequests(route("added", "search", 1_000), 5, 5, IDLE);
    assertEquals(before, target("n-1").slowness(), 0.1);
  }

  /**
   * The opposite case: with a default estimate that is too short, requests of all routes avoided
   * healthy targets.
   */
  @Test
  void underestimatedRunTimeDoesNotMakeTargetSeemSlow() {
    completeRequests(route("first", "search", 400), 100, 250, IDLE);
    double before = target("n-1").slowness();
    completeRequests(route("added", "search", 400), 5, 2_400, IDLE);
    assertEquals(before, target("n-1").slowness(), 0.1);
  }

  /**
   * Operators move a route from a service that answers in 5 ms to one that takes 500 ms. The old
   * service's run times were still used: targets of the new one seemed twelve times slower than
   * usual after their first answer, and requests of its other routes avoided them.
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
        send(request(after, 1, 10_000)).expectedRunMillis() > 100,
        "run time of the former service");
    completeRequests(after, 5, 500, IDLE);
    assertEquals(1, target("l-1").slowness(), 0.1);
  }
}
