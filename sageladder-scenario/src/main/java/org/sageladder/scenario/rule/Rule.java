package org.sageladder.scenario.rule;

import java.util.List;
import org.sageladder.scenario.SimulatedDay;

/**
 * A guarantee of the system that is checked against a simulated day.
 *
 * <pre>{@code
 * for (Rule rule : Rules.all()) {
 *   rule.violations(day).forEach(System.out::println);
 * }
 * }</pre>
 */
public interface Rule {
  /** Its name; the upper-case part is the name that the platform's documentation uses. */
  String name();

  /** One line for each violation; empty if the rule was kept. */
  List<String> violations(SimulatedDay day);
}
