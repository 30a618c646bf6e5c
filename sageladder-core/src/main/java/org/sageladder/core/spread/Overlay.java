package org.sageladder.core.spread;

import java.util.ArrayList;
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

  /** Zones that the relay of {@code self} exchanges items with. */
  public static Set<String> zoneNeighbours(List<String> zones, String self) {
    List<String> order = new ArrayList<>(new TreeSet<>(zones));
    int index = order.indexOf(self);
    Set<String> neighbours = new TreeSet<>();
    if (index < 0) {
      return neighbours;
    }
    int count = order.size();
    int stride = (int) Math.ceil(Math.sqrt(count));
    for (int step : new int[] {1, stride}) {
      neighbours.add(order.get((index + step) % count));
      neighbours.add(order.get(Math.floorMod(index - step, count)));
    }
    neighbours.remove(self);
    return neighbours;
  }
}
