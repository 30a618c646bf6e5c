package org.sageladder.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Matching of requests to routes. */
class RoutingRulesTest {
  private static RouteRule route(String host, String prefix) {
    return new RouteRule(
        host + prefix,
        host,
        prefix,
        true,
        2_000,
        400,
        1,
        List.of(new ServiceShare("s", 1)),
        2,
        true,
        Set.of(),
        false);
  }

  private static final RoutingRules RULES =
      RoutingRules.of(
          7,
          List.of(route("a", "/lots/"), route("a", "/lots/old/"), route("b", "/")),
          List.of(new ServiceRule("s", 10, 3_000, 3)),
          CallerLimits.standard());

  @Test
  void longestPrefixWins() {
    assertEquals("/lots/old/", RULES.match("a", "/lots/old/7").orElseThrow().prefix());
    assertEquals("/lots/", RULES.match("a", "/lots/older").orElseThrow().prefix());
    assertEquals("/", RULES.match("b", "/anything").orElseThrow().prefix());
  }

  /**
   * Guards against matching part of a path segment: prefixes end with a slash, so that neither
   * /lotsmore nor /lots belongs to /lots/.
   */
  @Test
  void partialPathSegmentDoesNotMatch() {
    assertTrue(RULES.match("a", "/lotsmore/7").isEmpty());
    assertTrue(RULES.match("a", "/lots").isEmpty());
    assertTrue(RULES.match("c", "/lots/7").isEmpty());
  }

  @Test
  void maxColdTimeCoversAllServices() {
    assertEquals(3_000, RULES.maxColdMillis());
  }
}
