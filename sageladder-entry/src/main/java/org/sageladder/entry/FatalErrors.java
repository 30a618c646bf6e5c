package org.sageladder.entry;

import java.util.function.IntConsumer;
import org.sageladder.platform.settings.ExitCode;

/**
 * Ends the process if a thread ends by an error. Without its worker threads it would accept no
 * request, while callers wait and nothing restarts it.
 */
final class FatalErrors implements Thread.UncaughtExceptionHandler {
  private final IntConsumer exit;

  private FatalErrors(IntConsumer exit) {
    this.exit = exit;
  }

  /** Handles the errors of all threads of this process. */
  static void install() {
    Thread.setDefaultUncaughtExceptionHandler(endingWith(Runtime.getRuntime()::halt));
  }

  /** Creates a handler that ends the process by {@code exit}. */
  static FatalErrors endingWith(IntConsumer exit) {
    return new FatalErrors(exit);
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    try {
      System.err.println("sageladder-entry: thread " + thread.getName() + " ended: " + failure);
    } finally {
      // Printing may fail for the same lack of memory.
      exit.accept(ExitCode.INTERNAL.status());
    }
  }
}
