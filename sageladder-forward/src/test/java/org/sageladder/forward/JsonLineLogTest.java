package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.time.VirtualTime;

/** Log lines are complete, the queue is bounded, and logging never blocks. */
class JsonLineLogTest {
  private static void recordLines(JsonLineLog log, int count) {
    for (int i = 0; i < count; i++) {
      log.record(EventKind.ANSWERED, "r-" + i, "route", "t-1", 7, "status 200, \"quoted\"");
    }
  }

  /** Many lines written as one large chunk were truncated in the middle by the reader. */
  @Test
  void writesCompleteLinesInBoundedChunks() {
    List<byte[]> chunks = new CopyOnWriteArrayList<>();
    OutputStream out =
        new OutputStream() {
          @Override
          public void write(int b) {
            throw new IllegalStateException("written byte by byte");
          }

          @Override
          public void write(byte[] bytes) {
            chunks.add(bytes);
          }
        };
    JsonLineLog log = JsonLineLog.to(out, "e-1", VirtualTime.startingAt(5));
    recordLines(log, 300);
    log.close();
    int lineCount = 0;
    for (byte[] chunk : chunks) {
      assertTrue(chunk.length <= 4_096, chunk.length + " bytes in one write");
      assertEquals('\n', chunk[chunk.length - 1]);
      lineCount += (int) new String(chunk, StandardCharsets.UTF_8).lines().count();
    }
    assertEquals(300, lineCount);
  }

  /** Standard output is blocked: recording goes on, and dropped lines are counted. */
  @Test
  void countsDroppedLinesAndNeverBlocks() throws Exception {
    CountDownLatch readerResumed = new CountDownLatch(1);
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int b) {
            written.write(b);
          }

          @Override
          public void write(byte[] bytes) {
            try {
              readerResumed.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.writeBytes(bytes);
          }
        };
    JsonLineLog log = JsonLineLog.to(blocked, "e-1", VirtualTime.startingAt(5));
    recordLines(log, 20_000);
    assertTrue(log.droppedLineCount() > 0, "the queue is not bounded");
    assertTrue(log.droppedLineCount() < 20_000);
    readerResumed.countDown();
    log.close();
  }

  /** A process whose standard output blocks as it ends stayed past its grace period. */
  @Test
  void closeEndsThoughStandardOutputIsBlocked() throws Exception {
    CountDownLatch firstLineWritten = new CountDownLatch(1);
    Semaphore permittedWrites = new Semaphore(1);
    OutputStream blockedAfterOneWrite =
        new OutputStream() {
          @Override
          public void write(int b) {
            throw new IllegalStateException("written byte by byte");
          }

          @Override
          public void write(byte[] bytes) {
            permittedWrites.acquireUninterruptibly();
            firstLineWritten.countDown();
          }
        };
    JsonLineLog log = JsonLineLog.to(blockedAfterOneWrite, "e-1", VirtualTime.startingAt(5));
    recordLines(log, 1);
    firstLineWritten.await();
    recordLines(log, 1);
    Thread closing = new Thread(log::close);
    closing.start();
    closing.join(20_000);
    assertFalse(closing.isAlive());
    permittedWrites.release(1_000);
  }
}
