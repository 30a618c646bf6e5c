package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.time.VirtualTime;

/** Log lines: bounded, whole, never in the way. */
class JsonLineLogTest {
  private static void recordLines(JsonLineLog log, int count) {
    for (int i = 0; i < count; i++) {
      log.record(EventKind.ANSWERED, "r-" + i, "route", "t-1", 7, "status 200, \"quoted\"");
    }
  }

  /**
   * Lines in a file were cut off in their middle where many had been written as one large piece.
   */
  @Test
  void writesCompleteLinesInBoundedChunks() {
    List<byte[]> pieces = new CopyOnWriteArrayList<>();
    OutputStream out =
        new OutputStream() {
          @Override
          public void write(int b) {
            throw new IllegalStateException("byte by byte");
          }

          @Override
          public void write(byte[] bytes) {
            pieces.add(bytes);
          }
        };
    JsonLineLog log = JsonLineLog.to(out, "e-1", VirtualTime.startingAt(5));
    recordLines(log, 300);
    log.close();
    int newLines = 0;
    for (byte[] piece : pieces) {
      assertTrue(piece.length <= 4_096, piece.length + " bytes at once");
      assertEquals('\n', piece[piece.length - 1]);
      newLines += (int) new String(piece, StandardCharsets.UTF_8).lines().count();
    }
    assertEquals(300, newLines);
  }

  /** Whoever reads standard output has stopped; requests go on, and what is left out is counted. */
  @Test
  void countsDroppedLinesAndNeverBlocks() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int b) {
            read.write(b);
          }

          @Override
          public void write(byte[] bytes) {
            try {
              reading.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            read.writeBytes(bytes);
          }
        };
    JsonLineLog log = JsonLineLog.to(stuck, "e-1", VirtualTime.startingAt(5));
    recordLines(log, 20_000);
    assertTrue(log.droppedLineCount() > 0, "a queue without bound");
    assertTrue(log.droppedLineCount() < 20_000);
    reading.countDown();
    log.close();
  }
}
