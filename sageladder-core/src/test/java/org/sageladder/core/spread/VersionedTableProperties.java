package org.sageladder.core.spread;

import static java.nio.charset.StandardCharsets.UTF_8;
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
import net.jqwik.api.Example;
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

  // Guards against a dependency on the order of arrival: a late or repeated message brings an older
  // revision after a newer one. Two entry VMs would then keep different contracts, or one would
  // return to an older version.
  @Property(tries = 300, seed = "20261202")
  void mergeIsIndependentOfOrderAndRepetition(
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
  void versionsNeverDecrease(@ForAll("items") List<Item> items) {
    VersionedTable table = VersionedTable.withCapacity(100);
    for (Item item : items) {
      long before = table.version(item.key());
      table.merge(item);
      assertTrue(table.version(item.key()) >= before);
      assertTrue(table.version(item.key()) >= item.version());
    }
  }

  @Property(tries = 500, seed = "20261202")
  void deltaYieldsNewerPayload(@ForAll byte[] older, @ForAll byte[] newer, @ForAll byte[] shared) {
    byte[] first = join(shared, older, shared, shared);
    byte[] second = join(shared, newer, shared, older, shared);
    PayloadDelta delta = PayloadDelta.between(first, second);
    assertArrayEquals(second, delta.applyTo(first).orElseThrow());
  }

  // Instructions from a faulty or malicious peer must neither read outside the base nor produce an
  // unbounded result.
  @Property(tries = 500, seed = "20261202")
  void arbitraryInstructionsYieldBoundedPayloadOrNothing(
      @ForAll byte[] program, @ForAll byte[] base) {
    new PayloadDelta(program)
        .applyTo(base)
        .ifPresent(made -> assertTrue(made.length <= Item.MAX_PAYLOAD_BYTES));
  }

  // Guards against large deltas: each change has a new change id near the start of a contract and
  // the changed limit near its end. A delta with only one changed range contained everything
  // between the two.
  @Example
  void deltaOfTwoDistantChangesIsSmall() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 5_000; i++) {
      text.append("  - {first: ")
          .append(4 * i)
          .append(", region: region-")
          .append(i % 3)
          .append("}\n");
    }
    byte[] first = ("changeId: aaa-1\n" + text + "meanService: 20ms\n").getBytes(UTF_8);
    byte[] second = ("changeId: bbbb-2\n" + text + "meanService: 21ms\n").getBytes(UTF_8);
    PayloadDelta delta = PayloadDelta.between(first, second);
    assertArrayEquals(second, delta.applyTo(first).orElseThrow());
    assertTrue(delta.instructions().length < 100, delta.instructions().length + " bytes");
  }

  private static byte[] join(byte[]... parts) {
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }
}
