package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The preferred targets of an object: one among all targets, and two in each region.
 *
 * <p>They are chosen by rendezvous hashing over the targets that accept requests, so that all entry
 * VMs agree without communication and few objects change target when targets are added or removed.
 *
 * <pre>{@code
 * PreferredTargets preferredTargets = PreferredTargets.of(object, usable);
 * double probability = preferredTargets.warmProbability(target, weights);
 * }</pre>
 */
final class PreferredTargets {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  /** A target with its rendezvous hash weight for an object; the highest weight is preferred. */
  private record Ranked(TargetState target, long weight) {}

  /** The two targets of a region with the highest weights. */
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

  /** No target is preferred: for routes that are not placed by object. */
  static PreferredTargets none() {
    return new PreferredTargets();
  }

  /** The preferred targets of an object, by its hash, among all targets that accept requests. */
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

  /** Returns true if {@code target} is the first choice of its region. */
  boolean isRegionPreferred(TargetState target) {
    Choices choices = choicesByRegion.get(target.facts().region());
    return choices != null && choices.first().target() == target;
  }

  /**
   * Returns the probability, 0 to 1, that {@code target} is warm for the object, estimated from its
   * rank alone.
   */
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
