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
 * Callers of a route that was added in a busy hour got 503 at once, for as long as the hour lasted,
 * while those of the first routes were answered by the same targets.
 *
 * <p>Order: targets are crowded; the operator adds a route whose goal is far above what its runs
 * take; a request on it is judged. The wait for a slot was worked out from the guessed run of the
 * request that asks, as if its like stood in the queue: longer than the time left, so it was not
 * sent, so its run was never measured.
 */
class NewRouteTest {
  private static final List<String> TARGETS = List.of("n-1", "n-2", "s-1", "s-2");

  /** The queues of the test are about this long for requests of the first route. */
  private static final int IN_FLIGHT = 7;

  private static final long FIRST_RUN_MILLIS = 250;
  private static final long ADDED_RUN_MILLIS = 5;
  private static final long REMAINING_MILLIS = 980;

  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  /** Goal of 1,000 ms: without a run of it, its run is taken to be 1,500 ms. */
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

  /** Where a request of the first route waits for 420 ms, one of the added route does so too. */
  @Test
  void estimatesSameWaitAsOtherRouteInSameQueue() {
    fillQueues();
    for (long object = 1_000; object < 1_020; object++) {
      Send first =
          assertInstanceOf(Send.class, place(PlacementFixture.route(Set.of()), object), "first");
      assertInstanceOf(Send.class, place(addedRoute(), object), "added");
      Set<String> others = new HashSet<>(TARGETS);
      others.remove(first.target().facts().id());
      Send same = assertInstanceOf(Send.class, place(addedRoute(), object, others), "same target");
      assertEquals(first.expectedWaitMillis(), same.expectedWaitMillis(), 1);
    }
  }

  /**
   * Runs were measured only where nothing waited at the target: in a queue that never empties
   * nothing is learnt of a new route, though an answer shows that its run was no longer than that.
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
   * An entry VM starts anew in the middle of the rush. It has measured nothing, so that any wait is
   * a guess; targets that are really full refuse by themselves.
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
