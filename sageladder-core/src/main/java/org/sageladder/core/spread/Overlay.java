package org.sageladder.core.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Who hands new items on to whom, so that no process talks to all others.
 *
 * <p>Inside a zone: a tree with the relay as its root. Between zones: every relay has four
 * neighbours on a ring of zones (one step and about the square root of their number, both ways), so
 * that no single zone's loss separates others, and a path has at most about as many steps as that
 * root.
 */
public final class Overlay {
  private Overlay() {}

  /**
   * Neighbours of {@code self} in the zone's tree: its parent and at most {@code fanOut} children.
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
   * As {@link #zoneTree}, but {@code leaf} hands nothing on to others: it hangs on the last member.
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
    String holder = others.isEmpty() ? root : others.get(others.size() - 1);
    if (self.equals(leaf)) {
      return List.of(holder);
    }
    others.add(root);
    List<String> neighbours = new ArrayList<>(zoneTree(others, root, self, fanOut));
    if (self.equals(holder)) {
      neighbours.add(leaf);
    }
    return neighbours;
  }

  /** Zones that the relay of {@code self} exchanges items with. */
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
   * Zones that zone {@code self} hands a report of zone {@code origin} on to, so that each zone
   * gets it exactly once: along the long steps of the ring, and from there along the short ones,
   * both ways.
   *
   * <p>A zone that cannot be reached is to be replaced by its own children, which this function
   * gives too. All must use the same zones for that; the short and long steps are those of {@link
   * #zoneNeighbours}, so that no further connections are needed.
   *
   * @param zones all zones, reachable or not, in their natural order
   */
  public static List<String> summaryChildren(List<String> zones, String origin, String self) {
    int count = zones.size();
    int start = Collections.binarySearch(zones, origin);
    int index = Collections.binarySearch(zones, self);
    if (start < 0 || index < 0) {
      return List.of();
    }
    int stride = stride(count);
    int ahead = Math.floorMod(index - start, count);
    int half = count / 2;
    List<String> children = new ArrayList<>();
    if (ahead <= half) {
      for (int distance : childDistances(ahead, stride, half)) {
        children.add(zones.get((start + distance) % count));
      }
    }
    int behind = Math.floorMod(-ahead, count);
    int otherHalf = count - 1 - half;
    if (behind <= otherHalf) {
      for (int distance : childDistances(behind, stride, otherHalf)) {
        children.add(zones.get(Math.floorMod(start - distance, count)));
      }
    }
    return children;
  }

  /** Distances from the origin that the zone at {@code distance} serves, at most {@code last}. */
  private static List<Integer> childDistances(int distance, int stride, int last) {
    List<Integer> steps = new ArrayList<>();
    boolean onLongStep = distance % stride == 0;
    if (onLongStep && distance + stride <= last) {
      steps.add(distance + stride);
    }
    boolean nextIsLongStep = (distance + 1) % stride == 0;
    if (!nextIsLongStep && distance + 1 <= last) {
      steps.add(distance + 1);
    }
    return steps;
  }

  private static int stride(int count) {
    return (int) Math.ceil(Math.sqrt(count));
  }
}
