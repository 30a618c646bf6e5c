package org.sageladder.scenario.trouble;

import org.sageladder.core.routing.RouteRule;

/** Routes for short requests that operators add while traffic flows. */
public final class AddedRoutes {
  /** Far above the actual run time. */
  public static final long GOAL_MILLIS = 1_000;

  /** Run time of a request on an added route. */
  public static final long WORK_MILLIS = 5;

  /** Number of objects that requests on an added route ask for. */
  public static final int OBJECT_COUNT = 24;

  private AddedRoutes() {}

  /** A route that is served like {@code template}, under a name and prefix of its own. */
  public static RouteRule like(RouteRule template, String name) {
    return new RouteRule(
        name,
        template.host(),
        '/' + name + '/',
        true,
        template.timeoutMillis(),
        GOAL_MILLIS,
        template.priority(),
        template.services(),
        template.maxTargets(),
        true,
        template.regions(),
        template.anonymous());
  }
}
