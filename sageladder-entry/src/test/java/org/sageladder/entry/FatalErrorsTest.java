package org.sageladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.sageladder.platform.settings.ExitCode;

/** Guards against a process that lives on without the threads that serve its callers. */
class FatalErrorsTest {
  @Test
  void errorOfAThreadEndsTheProcess() throws InterruptedException {
    AtomicInteger exitStatus = new AtomicInteger(-1);
    Thread worker =
        new Thread(
            () -> {
              throw new OutOfMemoryError("for this test");
            });
    worker.setUncaughtExceptionHandler(FatalErrors.endingWith(exitStatus::set));
    worker.start();
    worker.join();
    assertEquals(ExitCode.INTERNAL.status(), exitStatus.get());
  }
}
