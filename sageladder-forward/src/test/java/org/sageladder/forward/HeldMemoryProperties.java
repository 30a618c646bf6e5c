package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against an account of clients' memory that exceeds its limit or does not end at zero. */
class HeldMemoryProperties {
  private static final long MAX_BYTES = 100_000;

  private final List<Connection> evicted = new ArrayList<>();
  private final HeldMemory memory = HeldMemory.ofHeap(Runnable::run);

  private final class Connection implements HeldMemory.Holder {
    private final HeldMemory.Share share = memory.open(this);
    private final long waitingSinceMillis;

    Connection(long waitingSinceMillis) {
      this.waitingSinceMillis = waitingSinceMillis;
    }

    @Override
    public long waitingSinceMillis() {
      return waitingSinceMillis;
    }

    @Override
    public void evict() {
      evicted.add(this);
      share.close();
    }
  }

  @Property(tries = 200, seed = "20261207")
  void limitHoldsAndNothingIsLeftAtTheEnd(
      @ForAll @Size(max = 100) List<@IntRange(max = 90_000) Integer> sizes) {
    memory.updateLimit(MAX_BYTES);
    List<Connection> connections = new ArrayList<>();
    for (int i = 0; i < sizes.size(); i++) {
      Connection connection = new Connection(i);
      connections.add(connection);
      connection.share.set(sizes.get(i));
      connections.get(i / 2).share.set(sizes.get(i) / 2);
      assertTrue(memory.bytes() <= MAX_BYTES, memory.bytes() + " bytes");
    }
    connections.forEach(connection -> connection.share.close());
    connections.forEach(connection -> connection.share.set(1));
    assertEquals(0, memory.bytes());
  }

  @Example
  void connectionThatHoldsMostIsEndedFirstAmongSimilarOnesTheOneThatWaitsLongest() {
    memory.updateLimit(MAX_BYTES);
    Connection small = new Connection(0);
    Connection moving = new Connection(Long.MAX_VALUE);
    Connection waiting = new Connection(5);
    small.share.set(1_000);
    moving.share.set(50_000);
    waiting.share.set(40_000);
    assertEquals(List.of(), evicted);
    small.share.set(15_000);
    assertEquals(List.of(waiting), evicted);
    assertEquals(65_000, memory.bytes());
  }
}
