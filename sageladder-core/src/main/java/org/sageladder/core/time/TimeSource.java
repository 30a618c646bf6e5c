package org.sageladder.core.time;

/** Monotonic and wall time, so that decisions can be run on a virtual clock. */
public interface TimeSource {
  /** Nanoseconds on a clock that never goes back; only differences have meaning. */
  long nanos();

  /** Milliseconds since the Unix epoch; may jump. */
  long wallMillis();

  /** The clocks of this machine. */
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
