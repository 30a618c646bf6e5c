package org.sageladder.scenario.rule;

import java.util.List;
import org.sageladder.scenario.SimulatedDay;

/**
 * One promise of the system.
 *
 * <pre>{@code
 * for (Rule rule : Rules.all()) {
 *   rule.broken(day).forEach(System.out::println);
 * }
 * }</pre>
 */
public interface Rule {
  /** Its name, in capitals as the platform's pages have it where they do. */
  String name();

  /** What broke it, a line each; empty where it was kept. */
  List<String> violations(SimulatedDay day);
}
