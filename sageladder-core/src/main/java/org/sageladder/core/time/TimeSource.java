package org.sageladder.core.time;

/** Source of monotonic and wall-clock time, replaceable by a virtual clock. */
public interface TimeSource {
  /** Monotonic time in nanoseconds; only differences are meaningful. */
  long nanos();

  /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
  long wallMillis();

  /** The system clocks. */
  static TimeSource system() {
    return new TimeSource() {
      @Override
      public long nanos() {
        return System.nanoTime();
      }

      @Override
      public long wallMillis() {
        return System.currentTimeMillis();
      }
    };
  }
}
