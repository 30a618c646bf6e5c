package org.sageladder.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer's workspace, as the operator describes it. Its API keys are kept apart, in {@link
 * ApiKeys}, so that none can reach a log line with it.
 *
 * @param name the operator's name of it
 * @param priority rank that goes before that of the route; 0 is the highest
 * @param quota requests that it may have run
 * @param regions regions in which its requests may run; empty means all
 */
public record Workspace(String name, OptionalInt priority, Quota quota, Set<String> regions) {
  /** Copies the regions, so that the workspace cannot change. */
  public Workspace {
    regions = Set.copyOf(regions);
  }

  /** True where requests of this workspace may run in {@code region}. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
