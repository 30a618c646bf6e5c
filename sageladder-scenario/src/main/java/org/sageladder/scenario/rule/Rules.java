package org.sageladder.scenario.rule;

import java.util.List;
import java.util.function.Function;
import org.sageladder.scenario.SimulatedDay;

/** The registry of all rules. */
public final class Rules {
  private record NamedRule(String name, Function<SimulatedDay, List<String>> check)
      implements Rule {
    @Override
    public List<String> violations(SimulatedDay day) {
      return check.apply(day);
    }
  }

  private Rules() {}

  /** All rules, the most severe first. */
  public static List<Rule> all() {
    return List.of(
        new NamedRule("TWICE", ResponseRules::ranTwice),
        new NamedRule("REFUSED", ResponseRules::refusedButRan),
        new NamedRule("MIXED", ResponseRules::wrongResponses),
        new NamedRule("DENIED", DenialRules::allowedByAll),
        new NamedRule("LOST", day -> PlannedStops.of(day).violations()),
        new NamedRule("UNASKED", ArrivalRules::alteredRequests),
        new NamedRule("UNASKED workspace", KeyRules::wrongWorkspace),
        new NamedRule("ROUTE key", KeyRules::forgedKeys),
        new NamedRule("CONFIG key", KeyRules::revokedKeys),
        new NamedRule("QUOTA", KeyRules::exceededQuotas),
        new NamedRule("STARVED", KeyRules::starvedWorkspaces),
        new NamedRule("ROUTE", ArrivalRules::wrongService),
        new NamedRule("HOME", ArrivalRules::wrongRegion),
        new NamedRule("DRAIN", ArrivalRules::afterDrain),
        new NamedRule("DRAIN answer", SignalRules::afterDrainingAnswer),
        new NamedRule("EVAC", ArrivalRules::afterEvacuation),
        new NamedRule("CONFIG", ArrivalRules::staleConfiguration),
        new NamedRule("CONFIG added", AddedRouteRule::underserved),
        new NamedRule("CONFIG denied", DenialRules::onAddedRoutes),
        new NamedRule("GONE", ArrivalRules::afterCallerLeft),
        new NamedRule("SHIFT", ShiftRule::tooFast),
        new NamedRule("LIMIT", SignalRules::exceededTargetRates),
        new NamedRule("FAILBACK", BudgetRules::coldOverload),
        new NamedRule("BUDGET retries", BudgetRules::excessRetries),
        new NamedRule("BUDGET back-off", SignalRules::duringBackOff),
        new NamedRule("BUDGET targets", BudgetRules::tooManyTargets),
        new NamedRule("BUDGET time", BudgetRules::extendedDeadlines),
        new NamedRule("BUDGET crashes", BudgetRules::repeatedCrashes),
        new NamedRule("RECOVER", ResponseRules::notRecovered),
        new NamedRule("RECOVER cut", TargetCutRule::underserved));
  }
}
