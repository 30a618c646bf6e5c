package org.sageladder.tools.load;

import java.io.IOException;
import java.net.URI;
import java.util.Map;

/**
 * A target as the experiment sees it from behind: what it really started and holds.
 *
 * <p>A stand-in offers this; of a real target only the load is to be had.
 */
public interface TargetView {
  /** Name of the target. */
  String id();

  /** Service that it runs. */
  String service();

  /** Availability zone that it is in. */
  String zone();

  /** Requests that it runs at the same time. */
  int slots();

  /** Base address that work is sent to. */
  URI address();

  /** What it holds at this moment. */
  Reading read() throws IOException;

  /** How often each request was started, by key. */
  Map<String, Integer> executions() throws IOException;

  /**
   * One look at a target.
   *
   * @param started requests started since it was made
   * @param busy slots in use
   * @param queued requests that it holds beyond its slots
   */
  record Reading(long started, int busy, int queued) {}
}
