package org.sageladder.scenario.trouble;

import java.util.Random;
import org.sageladder.scenario.Fleet;

/** A disturbance of a fleet, such as a fault, a change by an operator or a traffic surge. */
@FunctionalInterface
public interface Trouble {
  /** Injects it now; {@code random} determines what it affects and for how long. */
  void inject(Fleet fleet, Random random);
}
