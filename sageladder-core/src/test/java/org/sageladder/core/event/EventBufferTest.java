package org.sageladder.core.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.TimeSource;
import org.sageladder.core.time.VirtualTime;

class EventBufferTest {
  private final VirtualTime time = VirtualTime.startingAt(5_000);

  @Test
  void readerGetsEachEventOnceInOrder() {
    EventBuffer buffer = EventBuffer.withCapacity(8, time);
    record(buffer, "a");
    time.advance(Duration.ofMillis(2));
    record(buffer, "b");

    EventBuffer.Batch first = buffer.readAfter(0, 1);
    EventBuffer.Batch second = buffer.readAfter(first.lastSequence(), 10);

    assertEquals(List.of("a"), details(first));
    assertEquals(List.of("b"), details(second));
    assertEquals(5_002_000, second.events().get(0).wallMicros());
    assertEquals(List.of(), buffer.readAfter(second.lastSequence(), 10).events());
  }

  // Guards against unnoticed gaps: a reader returns after a burst larger than the buffer, whose
  // oldest events were overwritten, and its time line would seem to show an idle period.
  @Test
  void overwrittenEventsAreCounted() {
    EventBuffer buffer = EventBuffer.withCapacity(4, time);
    for (int i = 1; i <= 11; i++) {
      record(buffer, String.valueOf(i));
    }

    EventBuffer.Batch batch = buffer.readAfter(2, 100);

    assertEquals(5, batch.lostCount());
    assertEquals(List.of("8", "9", "10", "11"), details(batch));
  }

  // Guards against lost events under load in a large enough buffer: a reader must not step over a
  // slot whose writer has taken a sequence number but has not stored its event yet.
  @Test
  void seenAndLostEventsAddUpWithConcurrentWriters() throws Exception {
    EventBuffer buffer = EventBuffer.withCapacity(256, time);
    int writers = 4;
    int each = 20_000;
    CountDownLatch done = new CountDownLatch(writers);
    for (int w = 0; w < writers; w++) {
      Thread writer =
          new Thread(
              () -> {
                for (int i = 0; i < each; i++) {
                  record(buffer, "x");
                }
                done.countDown();
              });
      writer.start();
    }
    List<Long> seen = new ArrayList<>();
    long lost = 0;
    long next = 0;
    while (next < (long) writers * each) {
      boolean finished = done.getCount() == 0;
      EventBuffer.Batch batch = buffer.readAfter(next, 64);
      batch.events().forEach(event -> seen.add(event.sequence()));
      lost += batch.lostCount();
      assertTrue(
          !finished || batch.lastSequence() > next,
          "a read after the last write must make progress");
      next = batch.lastSequence();
    }

    assertEquals((long) writers * each, seen.size() + lost);
    assertEquals(seen.stream().sorted().distinct().toList(), seen);
  }

  /** Guards against a reader that never gets beyond an event that a late writer has overwritten. */
  @Test
  void lateWriterDoesNotOverwriteALaterEvent() {
    Runnable[] whileWriting = {() -> {}};
    TimeSource interrupted =
        new TimeSource() {
          @Override
          public long nanos() {
            Runnable others = whileWriting[0];
            whileWriting[0] = () -> {};
            others.run();
            return time.nanos();
          }

          @Override
          public long wallMillis() {
            return time.wallMillis();
          }
        };
    EventBuffer buffer = EventBuffer.withCapacity(4, interrupted);
    whileWriting[0] =
        () -> {
          for (int i = 2; i <= 5; i++) {
            record(buffer, String.valueOf(i));
          }
        };
    record(buffer, "1");

    EventBuffer.Batch batch = buffer.readAfter(0, 100);

    assertEquals(List.of("2", "3", "4", "5"), details(batch));
    assertEquals(1, batch.lostCount());
    assertEquals(5, batch.lastSequence());
  }

  private static void record(EventBuffer buffer, String detail) {
    buffer.record(EventKind.ADMITTED, "r", "kannelkoda", "t", 0, detail);
  }

  private static List<String> details(EventBuffer.Batch batch) {
    return batch.events().stream().map(Event::detail).toList();
  }
}
