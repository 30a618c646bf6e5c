package org.sageladder.entry.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Maps stopped entry VMs to the successors that decide on their permits.
 *
 * <p>An entry is removed after its expiry, when all permits of the stopped incarnation have
 * expired.
 */
public final class PermitSuccessors {
  private final Map<StoppedIncarnation, Successor> successors = new ConcurrentHashMap<>();

  private record StoppedIncarnation(String vm, long incarnation) {}

  private record Successor(String vm, long expiryMillis) {}

  /** Records that {@code successor} decides on the permits of {@code incarnation} of {@code vm}. */
  public void recordSuccessor(
      String vm, long incarnation, String successor, long expiryMillis, long nowMillis) {
    successors.values().removeIf(each -> each.expiryMillis() <= nowMillis);
    if (expiryMillis > nowMillis) {
      successors.put(
          new StoppedIncarnation(vm, incarnation), new Successor(successor, expiryMillis));
    }
  }

  /** The successor of that incarnation, if one is recorded. */
  public Optional<String> find(String vm, long incarnation) {
    return Optional.ofNullable(successors.get(new StoppedIncarnation(vm, incarnation)))
        .map(Successor::vm);
  }
}
