package org.sageladder.standin.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.VirtualTime;

/** Slots, load reports and the cold start, on a virtual clock. */
class SlotTableTest {
  private static void work() {}

  private final VirtualTime time = VirtualTime.startingAt(0);

  private SlotTable table(TargetOptions options) {
    return SlotTable.create(options, time);
  }

  private static TargetOptions options() {
    return TargetOptions.create("t").slots(1).queue(1).serviceTime(ServiceTime.fixed(10));
  }

  @Test
  void laggingReportShowsThePastLoad() {
    SlotTable table = table(options());
    table.setFaults(TargetFaults.none().withLoadLagMillis(1000));
    table.offer(SlotTableTest::work, 0);
    assertEquals(0, table.reportedLoad().busy());
    time.advance(Duration.ofMillis(999));
    assertEquals(0, table.reportedLoad().busy());
    time.advance(Duration.ofMillis(1));
    assertEquals(1, table.reportedLoad().busy());
    assertNull(table.release(1));
    assertEquals(1, table.reportedLoad().busy());
    time.advance(Duration.ofSeconds(1));
    assertEquals(0, table.reportedLoad().busy());
  }

  @Test
  void coldTargetRefusesThenRunsSlowlyThenAtFullSpeed() {
    SlotTable table = table(options().coldStart(1000, 2000, 5));
    assertEquals(SlotTable.Decision.STARTING, table.offer(SlotTableTest::work, 0));
    assertFalse(table.isReportedUp());
    time.advance(Duration.ofSeconds(1));
    assertTrue(table.isReportedUp());
    assertEquals(50_000_000, table.drawServiceNanos());
    time.advance(Duration.ofSeconds(1));
    assertEquals(30_000_000, table.drawServiceNanos());
    time.advance(Duration.ofSeconds(1));
    assertEquals(10_000_000, table.drawServiceNanos());
  }

  @Test
  void freedSlotGoesToQueuedWork() {
    SlotTable table = table(options());
    assertEquals(SlotTable.Decision.STARTED, table.offer(SlotTableTest::work, 0));
    assertEquals(SlotTable.Decision.QUEUED, table.offer(SlotTableTest::work, 0));
    assertEquals(SlotTable.Decision.SHEDDING, table.offer(SlotTableTest::work, 0));
    assertNotNull(table.release(1));
    assertEquals(1, table.load().busy());
    assertNull(table.release(1));
    assertEquals(0, table.load().busy());
  }

  // Work of a crashed incarnation ends after the restart. Releasing its slot would let the
  // restarted target run one request more than it has slots.
  @Test
  void slotOfAnEndedIncarnationIsNotReleasedAgain() {
    SlotTable table = table(options());
    table.offer(SlotTableTest::work, 0);
    table.restart();
    table.offer(SlotTableTest::work, 0);
    assertNull(table.release(1));
    assertEquals(1, table.load().busy());
    assertEquals(SlotTable.Decision.QUEUED, table.offer(SlotTableTest::work, 0));
  }

  @Test
  void sameSeedDrawsTheSameServiceTimes() {
    TargetOptions random = options().serviceTime(ServiceTime.parse("lognormal:20:0.5")).seed(3);
    SlotTable first = table(random);
    SlotTable second = table(random);
    double sum = 0;
    for (int i = 0; i < 2000; i++) {
      long nanos = first.drawServiceNanos();
      assertEquals(nanos, second.drawServiceNanos());
      sum += nanos / 1e6;
    }
    assertEquals(20, sum / 2000, 1);
  }
}
