package org.sageladder.scenario.trouble;

import java.util.Random;
import org.sageladder.scenario.Fleet;

/** One thing that can be done to a fleet. */
@FunctionalInterface
public interface Trouble {
  /** Does it now; whom it hits and for how long follows from {@code random}. */
  void inject(Fleet fleet, Random random);
}
