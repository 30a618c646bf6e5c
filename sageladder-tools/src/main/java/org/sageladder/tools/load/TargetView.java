package org.sageladder.tools.load;

import java.io.IOException;
import java.net.URI;
import java.util.Map;

/**
 * Direct view of a target that bypasses the system under test: the requests that the target started
 * and currently holds.
 *
 * <p>Only a target stand-in provides all of it; a real target reports only its load.
 */
public interface TargetView {
  /** Name of the target. */
  String id();

  /** Service that the target runs. */
  String service();

  /** Availability zone of the target. */
  String zone();

  /** Number of requests that the target runs concurrently. */
  int slots();

  /** Base URI that requests are sent to. */
  URI address();

  /** Reads the current state of the target. */
  Reading read() throws IOException;

  /** Number of times that each request was started, by request id. */
  Map<String, Integer> executions() throws IOException;

  /**
   * The state of a target at one moment.
   *
   * @param started number of requests started since the target was created
   * @param busy number of slots in use
   * @param queued number of requests that the target holds beyond its slots
   */
  record Reading(long started, int busy, int queued) {}
}
