package org.sageladder.core.placing;

/**
 * A target's load as it reports it in an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait at the target
 * @param slots requests that it can run concurrently
 * @param runTimeFactor run time on the target's machine at this moment as a multiple of the usual
 *     one, above 0; 1 if the target does not state it
 */
public record LoadReport(int running, int waiting, int slots, double runTimeFactor) {
  /** A report of a target that does not state its momentary run time. */
  public LoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, 1);
  }
}
