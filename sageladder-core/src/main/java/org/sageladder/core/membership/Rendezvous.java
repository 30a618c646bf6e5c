package org.sageladder.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: each subject is assigned to the candidate with the highest hash of the pair.
 *
 * <p>When one of n candidates is added or removed, about one subject in n moves and all others
 * stay.
 */
public final class Rendezvous {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private Rendezvous() {}

  /** Returns the candidate for {@code subject}, or empty if there are no candidates. */
  public static Optional<String> choose(String subject, Collection<String> candidates) {
    return candidates.stream().max(byHash(subject));
  }

  /** Returns all candidates, the preferred one first. */
  public static List<String> rank(String subject, Collection<String> candidates) {
    return candidates.stream().sorted(byHash(subject).reversed()).toList();
  }

  private static Comparator<String> byHash(String subject) {
    return Comparator.<String>comparingLong(candidate -> hash(subject, candidate))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long hash(String subject, String candidate) {
    return HASHER.hashCharsToLong(subject + '\n' + candidate);
  }
}
