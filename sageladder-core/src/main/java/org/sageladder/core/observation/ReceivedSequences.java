package org.sageladder.core.observation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The sequence numbers received from one peer, so that each digest counts once.
 *
 * <p>A peer that starts again counts from the start under a new process start. Start times are only
 * compared for equality: its clock may have jumped back.
 *
 * <pre>{@code
 * ReceivedSequences received = new ReceivedSequences();
 * received.add(start, 7); // true
 * received.add(start, 7); // false, a duplicate
 * received.add(start, 6); // true, overtaken on the way
 * }</pre>
 */
final class ReceivedSequences {
  /** Processes of a peer whose late digests are still recognised. */
  private static final int MAX_PROCESSES = 4;

  /** The highest number received, and which of the numbers up to it were. */
  private static final class Window {
    int highest;
    long received = 1;

    Window(int highest) {
      this.highest = highest;
    }

    boolean add(int sequence) {
      long ahead = (long) sequence - highest;
      if (ahead > 0) {
        received = ahead >= Long.SIZE ? 1 : (received << ahead) | 1;
        highest = sequence;
        return true;
      }
      long bit = -ahead >= Long.SIZE ? 0 : 1L << -ahead;
      boolean isNew = bit != 0 && (received & bit) == 0;
      received |= bit;
      return isNew;
    }
  }

  // Least recently started first.
  private final Map<Integer, Window> windows = new LinkedHashMap<>();

  /** Records a digest; returns false if it was received before or is too old to tell. */
  boolean add(int processStart, int sequence) {
    Window window = windows.get(processStart);
    if (window != null) {
      return window.add(sequence);
    }
    windows.put(processStart, new Window(sequence));
    if (windows.size() > MAX_PROCESSES) {
      windows.remove(windows.keySet().iterator().next());
    }
    return true;
  }
}
