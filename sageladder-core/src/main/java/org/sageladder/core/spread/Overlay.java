package org.sageladder.core.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The overlay network along which new items are forwarded, so that no process needs connections to
 * all others.
 *
 * <p>Within a zone it is a tree with the relay as its root. Between zones, every relay has four
 * neighbours on a ring of zones: at distance one and at a distance of about the square root of the
 * number of zones, in both directions. The loss of a single zone therefore does not partition the
 * others, and the longest path has about as many hops as that square root.
 */
public final class Overlay {
  private Overlay() {}

  /**
   * Returns the neighbours of {@code self} in the zone's tree: its parent and at most {@code
   * fanOut} children.
   *
   * @param members all members of the zone, in any order
   * @param root the relay
   */
  public static List<String> zoneTree(List<String> members, String root, String self, int fanOut) {
    List<String> order = new ArrayList<>(new TreeSet<>(members));
    order.remove(root);
    order.add(0, root);
    int index = order.indexOf(self);
    if (index < 0) {
      return List.of(root);
    }
    List<String> neighbours = new ArrayList<>();
    if (index > 0) {
      neighbours.add(order.get((index - 1) / fanOut));
    }
    for (int child = index * fanOut + 1; child <= index * fanOut + fanOut; child++) {
      if (child < order.size()) {
        neighbours.add(order.get(child));
      }
    }
    return neighbours;
  }

  /**
   * Like {@link #zoneTree}, but {@code leaf} forwards nothing: it is attached to the last member.
   *
   * @param root a member other than {@code leaf}, unless there is no other
   */
  public static List<String> zoneTreeWithLeaf(
      List<String> members, String root, String leaf, String self, int fanOut) {
    List<String> others = new ArrayList<>(new TreeSet<>(members));
    others.remove(leaf);
    others.remove(root);
    if (root.equals(leaf)) {
      return zoneTree(members, root, self, fanOut);
    }
    String leafParent = others.isEmpty() ? root : others.get(others.size() - 1);
    if (self.equals(leaf)) {
      return List.of(leafParent);
    }
    others.add(root);
    List<String> neighbours = new ArrayList<>(zoneTree(others, root, self, fanOut));
    if (self.equals(leafParent)) {
      neighbours.add(leaf);
    }
    return neighbours;
  }

  /** Returns the zones whose relays exchange items with the relay of zone {@code self}. */
  public static Set<String> zoneNeighbours(List<String> zones, String self) {
    List<String> order = new ArrayList<>(new TreeSet<>(zones));
    int index = order.indexOf(self);
    Set<String> neighbours = new TreeSet<>();
    if (index < 0) {
      return neighbours;
    }
    int count = order.size();
    int stride = stride(count);
    for (int step : new int[] {1, stride}) {
      neighbours.add(order.get((index + step) % count));
      neighbours.add(order.get(Math.floorMod(index - step, count)));
    }
    neighbours.remove(self);
    return neighbours;
  }

  /**
   * Returns the zones to which zone {@code self} forwards a summary of zone {@code origin}, such
   * that each zone receives it exactly once: along the long steps of the ring, and from there along
   * the short ones, in both directions.
   *
   * <p>The caller replaces a zone that is unreachable by that zone's own children, which this
   * function returns as well. All callers must pass the same zones. The short and long steps are
   * those of {@link #zoneNeighbours}, so no further connections are needed.
   *
   * @param zones all zones, reachable or not, in their natural order
   */
  public static List<String> summaryChildren(List<String> zones, String origin, String self) {
    int count = zones.size();
    int originIndex = Collections.binarySearch(zones, origin);
    int index = Collections.binarySearch(zones, self);
    if (originIndex < 0 || index < 0) {
      return List.of();
    }
    int stride = stride(count);
    int distanceAhead = Math.floorMod(index - originIndex, count);
    int half = count / 2;
    List<String> children = new ArrayList<>();
    if (distanceAhead <= half) {
      for (int distance : childDistances(distanceAhead, stride, half)) {
        children.add(zones.get((originIndex + distance) % count));
      }
    }
    int distanceBehind = Math.floorMod(-distanceAhead, count);
    int otherHalf = count - 1 - half;
    if (distanceBehind <= otherHalf) {
      for (int distance : childDistances(distanceBehind, stride, otherHalf)) {
        children.add(zones.get(Math.floorMod(originIndex - distance, count)));
      }
    }
    return children;
  }

  /**
   * Returns the distances from the origin, at most {@code last}, of the zones to which the zone at
   * {@code distance} forwards.
   */
  private static List<Integer> childDistances(int distance, int stride, int last) {
    List<Integer> steps = new ArrayList<>();
    boolean isOnLongStep = distance % stride == 0;
    if (isOnLongStep && distance + stride <= last) {
      steps.add(distance + stride);
    }
    boolean isNextOnLongStep = (distance + 1) % stride == 0;
    if (!isNextOnLongStep && distance + 1 <= last) {
      steps.add(distance + 1);
    }
    return steps;
  }

  private static int stride(int count) {
    return (int) Math.ceil(Math.sqrt(count));
  }
}
