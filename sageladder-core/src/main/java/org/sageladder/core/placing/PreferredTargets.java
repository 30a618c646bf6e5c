package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The targets that an object's requests go to first: one of all, and two in each region.
 *
 * <p>By rendezvous hashing over the targets that take work, so that all entry VMs agree without
 * talking, and little moves when targets come and go.
 *
 * <pre>{@code
 * Homes homes = Homes.of(object, usable);
 * double surely = homes.knows(target, weights);
 * }</pre>
 */
final class PreferredTargets {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  /** A target and its place in the order of targets for an object; the highest comes first. */
  private record Ranked(TargetState target, long weight) {}

  /** The first two targets of a region. */
  private record Choices(Ranked first, @Nullable Ranked second) {
    Choices withCandidate(Ranked other) {
      if (other.weight() > first.weight()) {
        return new Choices(other, first);
      }
      if (second == null || other.weight() > second.weight()) {
        return new Choices(first, other);
      }
      return this;
    }
  }

  private final Map<String, Choices> choicesByRegion = new HashMap<>();
  private @Nullable Ranked preferred;

  private PreferredTargets() {}

  /** No target is preferred: requests whose route does not go by object. */
  static PreferredTargets none() {
    return new PreferredTargets();
  }

  /** The homes of an object, by its hash, among all targets that take work. */
  static PreferredTargets of(long object, List<TargetState> usable) {
    PreferredTargets preferredTargets = new PreferredTargets();
    for (TargetState target : usable) {
      preferredTargets.add(new Ranked(target, HASHER.hashLongLongToLong(object, target.idHash())));
    }
    return preferredTargets;
  }

  private void add(Ranked ranked) {
    Ranked current = preferred;
    if (current == null || ranked.weight() > current.weight()) {
      preferred = ranked;
    }
    String region = ranked.target().facts().region();
    Choices choices = choicesByRegion.get(region);
    choicesByRegion.put(
        region, choices == null ? new Choices(ranked, null) : choices.withCandidate(ranked));
  }

  /** True where {@code target} is the first of its region. */
  boolean isRegionPreferred(TargetState target) {
    Choices choices = choicesByRegion.get(target.facts().region());
    return choices != null && choices.first().target() == target;
  }

  /** How surely {@code target} is believed to know the object, by its place alone; 0 to 1. */
  double warmProbability(TargetState target, PlacementWeights weights) {
    Ranked first = preferred;
    if (first != null && first.target() == target) {
      return weights.preferredWarmProbability();
    }
    if (isRegionPreferred(target)) {
      return weights.regionPreferredWarmProbability();
    }
    Choices choices = choicesByRegion.get(target.facts().region());
    Ranked second = choices == null ? null : choices.second();
    return second != null && second.target() == target ? weights.regionSecondWarmProbability() : 0;
  }
}
