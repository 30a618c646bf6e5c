package org.sageladder.core.routing;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer's workspace, as configured by the operator. Its API keys are kept separately, in
 * {@link ApiKeys}, so that logging a workspace cannot reveal a key.
 *
 * @param name name of the workspace, given by the operator
 * @param priority priority that overrides that of the route; 0 is the highest
 * @param quota rate limit of its requests
 * @param regions regions in which its requests may run; empty for all
 */
public record Workspace(String name, OptionalInt priority, Quota quota, Set<String> regions) {
  /** Copies the regions to keep the workspace immutable. */
  public Workspace {
    regions = Set.copyOf(regions);
  }

  /** True if requests of this workspace may run in {@code region}. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}
