package org.sageladder.scenario.rule;

import java.util.List;
import java.util.function.Function;
import org.sageladder.scenario.Day;

/** All rules that are judged. */
public final class Rules {
  private record Named(String name, Function<Day, List<String>> judge) implements Rule {
    @Override
    public List<String> broken(Day day) {
      return judge.apply(day);
    }
  }

  private Rules() {}

  /** Every rule, the heaviest first. */
  public static List<Rule> all() {
    return List.of(
        new Named("TWICE", AnswerRules::ranTwice),
        new Named("REFUSED", AnswerRules::refusedThoughRun),
        new Named("MIXED", AnswerRules::wrongAnswers),
        new Named("DENIED", AnswerRules::denied),
        new Named("LOST", AnswerRules::cutByPlannedWork),
        new Named("UNASKED", ArrivalRules::unasked),
        new Named("UNASKED workspace", KeyRules::wrongWorkspace),
        new Named("ROUTE key", KeyRules::forgedKeys),
        new Named("CONFIG key", KeyRules::keysTakenAway),
        new Named("QUOTA", KeyRules::quotas),
        new Named("STARVED", KeyRules::starved),
        new Named("ROUTE", ArrivalRules::wrongService),
        new Named("HOME", ArrivalRules::wrongRegion),
        new Named("DRAIN", ArrivalRules::afterLeaving),
        new Named("EVAC", ArrivalRules::afterEmptying),
        new Named("CONFIG", ArrivalRules::olderConfiguration),
        new Named("CONFIG added", AddedRoutes::notServed),
        new Named("GONE", ArrivalRules::afterTheCallerLeft),
        new Named("SHIFT", Shifts::tooFast),
        new Named("FAILBACK", BudgetRules::coldRate),
        new Named("BUDGET retries", BudgetRules::secondSends),
        new Named("BUDGET targets", BudgetRules::mostTargets),
        new Named("BUDGET time", BudgetRules::deadlines),
        new Named("BUDGET crashes", BudgetRules::crashingRequests),
        new Named("RECOVER", AnswerRules::notBack));
  }
}
