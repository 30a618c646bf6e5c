package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;

/**
 * Guards against 503 answers to all callers of a route that was added under high load, while
 * callers of existing routes were served by the same targets.
 *
 * <p>Targets have queues, and an operator adds a route whose latency goal is far above its run
 * time. The expected wait for a slot was computed from the default run time of the requesting
 * route, as if requests of that route filled the queue. It exceeded the remaining time, so that the
 * request was not sent and its run time was never measured.
 */
class NewRouteTest {
  private static final List<String> TARGETS = List.of("n-1", "n-2", "s-1", "s-2");

  /** In-flight requests per target. They give a queue in which the first route can still wait. */
  private static final int IN_FLIGHT = 7;

  private static final long FIRST_RUN_MILLIS = 250;
  private static final long ADDED_RUN_MILLIS = 5;
  private static final long REMAINING_MILLIS = 980;

  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  /** Latency goal of 1,000 ms: without a measured run, its run time is estimated as 1,500 ms. */
  private static RouteRule addedRoute() {
    RouteRule first = PlacementFixture.route(Set.of());
    return new RouteRule(
        "added",
        first.host(),
        "/added/",
        true,
        first.timeoutMillis(),
        1_000,
        first.priority(),
        List.of(new ServiceShare("search", 1)),
        2,
        true,
        Set.of(),
        false);
  }

  private static PlacementRequest request(RouteRule route, long object) {
    return new PlacementRequest(route, "search", object, REMAINING_MILLIS);
  }

  private PlacementDecision place(RouteRule route, long object) {
    return place(route, object, Set.of());
  }

  private PlacementDecision place(RouteRule route, long object, Set<String> tried) {
    return fixture.placement.place(
        request(route, object), PlacementFixture.SERVICE, tried, fixture.now);
  }

  private void completeRequest(
      RouteRule route, Send send, long object, long millis, LoadReport load) {
    fixture.placement.recordSent(send, fixture.now);
    send.target().endRequest();
    send.target().recordReport(load, fixture.now);
    fixture.placement.recordAnswer(
        request(route, object), send, (double) millis, load, fixture.now);
  }

  private void fillQueues() {
    for (String id : TARGETS) {
      TargetState target = fixture.targets.find(id).orElseThrow();
      for (int i = 0; i < IN_FLIGHT; i++) {
        target.startRequest();
      }
    }
  }

  @BeforeEach
  void runFirstRoute() {
    RouteRule first = PlacementFixture.route(Set.of());
    for (long object = 0; object < 200; object++) {
      Send send = (Send) place(first, object);
      completeRequest(first, send, object, FIRST_RUN_MILLIS, new LoadReport(0, 0, 3));
    }
  }

  /**
   * Where a request of the first route is expected to wait for 420 ms, so is one of the added
   * route.
   */
  @Test
  void estimatesSameWaitAsOtherRouteInSameQueue() {
    fillQueues();
    for (long object = 1_000; object < 1_020; object++) {
      Send first = PlacementFixture.chosenTarget(place(PlacementFixture.route(Set.of()), object));
      PlacementFixture.chosenTarget(place(addedRoute(), object));
      Set<String> others = new HashSet<>(TARGETS);
      others.remove(first.target().facts().id());
      Send same = PlacementFixture.chosenTarget(place(addedRoute(), object, others));
      assertEquals(first.target(), same.target());
      assertEquals(first.expectedWaitMillis(), same.expectedWaitMillis(), 1);
    }
  }

  /**
   * Run times were measured only from answers of targets without a queue. Behind a queue that never
   * drains nothing was learned of a new route, although an answer gives an upper bound for its run
   * time.
   */
  @Test
  void learnsRunTimeWhileQueueNeverDrains() {
    LoadReport fullReport = new LoadReport(3, 2, 3);
    for (long object = 0; object < 10; object++) {
      Send send = assertInstanceOf(Send.class, place(addedRoute(), object));
      completeRequest(addedRoute(), send, object, ADDED_RUN_MILLIS, fullReport);
    }
    Send next = assertInstanceOf(Send.class, place(addedRoute(), 2_000));
    assertTrue(
        next.expectedRunMillis() < 100,
        "a run of 5 ms is expected to take " + next.expectedRunMillis());
  }

  /**
   * An entry VM is restarted under high load. It has no measurements, so that any expected wait is
   * a default estimate; targets that are really full refuse requests themselves.
   */
  @Test
  void vmWithoutMeasurementsDoesNotRefuse() {
    PlacementFixture restarted = new PlacementFixture().withFourTargets();
    for (String id : TARGETS) {
      restarted.targets.find(id).orElseThrow().recordReport(new LoadReport(3, 4, 3), restarted.now);
    }
    PlacementDecision decision =
        restarted.placement.place(
            request(addedRoute(), 1), PlacementFixture.SERVICE, Set.of(), restarted.now);
    assertInstanceOf(Send.class, decision);
  }
}
