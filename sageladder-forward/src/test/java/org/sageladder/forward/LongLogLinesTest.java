package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.time.TimeSource;

/** Guards against a heap used up by queued log lines that quote long request ids. */
class LongLogLinesTest {
  private static final String LONG_ID = "x".repeat(15_000);
  private static final int LINES = 400;
  private static final int MAX_QUEUED_CHARS = 1 << 20;

  @Test
  void queuedLinesAreLimitedByTheirLength() {
    CountDownLatch released = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int unused) {
            try {
              released.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    try (JsonLineLog log = JsonLineLog.to(blocked, "e-1", TimeSource.system())) {
      for (int i = 0; i < LINES; i++) {
        log.record(EventKind.REFUSED, LONG_ID, "", "", 0, "");
      }
      long keptChars = (LINES - log.droppedLineCount()) * LONG_ID.length();
      assertTrue(keptChars <= 2 * MAX_QUEUED_CHARS, keptChars + " characters are kept");
      released.countDown();
    }
  }
}
