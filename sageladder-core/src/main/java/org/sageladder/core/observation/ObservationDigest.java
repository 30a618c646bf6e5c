package org.sageladder.core.observation;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The recent observations of one entry VM, as sent to the others of its zone.
 *
 * @param processStart distinguishes the processes of the sending VM
 * @param sequence number of the digest, counted by the sending process
 * @param entries observations, newest first
 */
public record ObservationDigest(int processStart, int sequence, List<Entry> entries) {
  /** Copies the list. */
  public ObservationDigest {
    entries = List.copyOf(entries);
  }

  /**
   * One observation.
   *
   * @param targetHash hash of the target's incarnation
   * @param object hash of the object that the target has run; 0 if it ran none
   * @param load load that the target reported, or null
   * @param ageMillis time since the response arrived; a duration, since clocks of VMs may differ
   */
  public record Entry(int targetHash, long object, @Nullable Load load, int ageMillis) {}

  /**
   * A reported load. The receiver knows the target's slots from its registration.
   *
   * @param running requests that run
   * @param waiting requests that wait at the target
   * @param runTimeFactor momentary run time as a multiple of the usual one
   */
  public record Load(int running, int waiting, double runTimeFactor) {}
}
