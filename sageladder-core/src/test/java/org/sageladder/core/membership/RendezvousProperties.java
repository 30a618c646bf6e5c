package org.sageladder.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RendezvousProperties {
  @Property(tries = 100, seed = "20261202")
  void removingMemberMovesOnlyItsTargets(
      @ForAll @IntRange(min = 2, max = 30) int size, @ForAll @IntRange(max = 29) int removedIndex) {
    List<String> members = IntStream.range(0, size).mapToObj(i -> "vm-" + i).toList();
    List<String> rest = new ArrayList<>(members);
    String removed = rest.remove(removedIndex % size);
    for (int t = 0; t < 50; t++) {
      String before = Rendezvous.choose("target-" + t, members).orElseThrow();
      String after = Rendezvous.choose("target-" + t, rest).orElseThrow();
      if (!before.equals(removed)) {
        assertEquals(before, after);
      }
      assertEquals(before, Rendezvous.rank("target-" + t, members).get(0));
    }
  }

  @Property(tries = 20, seed = "20261202")
  void targetsAreSpreadEvenly(@ForAll @IntRange(min = 2, max = 12) int size) {
    List<String> members = IntStream.range(0, size).mapToObj(i -> "vm-" + i).toList();
    int[] counts = new int[size];
    for (int t = 0; t < 2_000; t++) {
      String holder = Rendezvous.choose("target-" + t, members).orElseThrow();
      counts[members.indexOf(holder)]++;
    }
    for (int count : counts) {
      assertTrue(count < 2 * 2_000 / size && count > 2_000 / size / 2, "share of " + count);
    }
  }
}
