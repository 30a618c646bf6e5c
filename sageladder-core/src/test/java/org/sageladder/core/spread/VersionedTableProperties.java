package org.sageladder.core.spread;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class VersionedTableProperties {
  @Provide
  Arbitrary<List<Item>> items() {
    Arbitrary<Item> item =
        Combinators.combine(
                Arbitraries.of(ItemKind.class),
                Arbitraries.of("tartu-a", "tartu-b"),
                Arbitraries.longs().between(1, 6),
                Arbitraries.bytes().array(byte[].class).ofMaxSize(2))
            .as(Item::of);
    return item.list().ofMaxSize(30);
  }

  // A late or repeated message brings an older revision after a newer one. If the order of arrival
  // counted, two entry VMs would keep different contracts, or one would fall back.
  @Property(tries = 300, seed = "20261202")
  void sameItemsInAnyOrderAndTwiceGiveTheSameTable(
      @ForAll("items") List<Item> items, @ForAll long seed) {
    VersionedTable inOrder = VersionedTable.withCapacity(100);
    items.forEach(inOrder::merge);
    List<Item> shuffled = new ArrayList<>(items);
    shuffled.addAll(items);
    Collections.shuffle(shuffled, new Random(seed));
    VersionedTable other = VersionedTable.withCapacity(100);
    shuffled.forEach(other::merge);

    assertEquals(inOrder.digest(), other.digest());
    assertEquals(inOrder.items().size(), other.items().size());
    for (Item item : inOrder.items()) {
      assertEquals(item.version(), other.version(item.key()));
      assertArrayEquals(
          item.payload(), other.item(item.key()).map(Item::payload).orElse(new byte[99]));
    }
  }

  @Property(tries = 300, seed = "20261202")
  void noKeyEverGoesBack(@ForAll("items") List<Item> items) {
    VersionedTable table = VersionedTable.withCapacity(100);
    for (Item item : items) {
      long before = table.version(item.key());
      table.merge(item);
      assertTrue(table.version(item.key()) >= before);
      assertTrue(table.version(item.key()) >= item.version());
    }
  }

  @Property(tries = 300, seed = "20261202")
  void deltaGivesTheNewerPayload(
      @ForAll byte[] older, @ForAll byte[] newer, @ForAll byte[] shared) {
    byte[] first = join(shared, older, shared);
    byte[] second = join(shared, newer, shared);
    PayloadDelta delta = PayloadDelta.between(first, second);
    assertArrayEquals(second, delta.applyTo(first).orElseThrow());
    assertTrue(delta.middle().length <= newer.length);
  }

  private static byte[] join(byte[]... parts) {
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }
}
