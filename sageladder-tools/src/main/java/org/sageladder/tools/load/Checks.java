package org.sageladder.tools.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sageladder.tools.load.Experiment.FaultKind;
import org.sageladder.tools.load.Experiment.Limits;
import org.sageladder.tools.load.Experiment.ServiceLimit;
import org.sageladder.tools.load.RequestResult.Outcome;

/**
 * Checks a variant against the general properties of the system and the limits of its experiment.
 */
final class Checks {
  private final VariantResult variant;
  private final Limits limits;
  private final List<CheckResult> checks = new ArrayList<>();

  private Checks(VariantResult variant) {
    this.variant = variant;
    this.limits = variant.experiment().limits();
  }

  static List<CheckResult> of(VariantResult variant) {
    Checks checks = new Checks(variant);
    checks.checkFaultsInjected();
    checks.checkCompleteAnswers();
    checks.checkUnknownOutcomes();
    if (!variant.samples().targets().isEmpty()) {
      checks.checkAtMostOnce();
      checks.checkNotRunOutcomes();
      checks.checkSlots();
      checks.checkShiftCaps();
      checks.checkDrains();
    }
    checks.checkContractInForce();
    for (ServiceLimit limit : checks.limits.services()) {
      checks.checkService(limit);
    }
    return List.copyOf(checks.checks);
  }

  private void checkFaultsInjected() {
    long failed = variant.injected().stream().filter(fault -> !fault.succeeded()).count();
    int missing = variant.experiment().faults().size() - variant.injected().size();
    add(
        "faults were injected",
        failed == 0 && missing == 0,
        failed + " failed, " + missing + " not reached",
        "all");
  }

  private void checkCompleteAnswers() {
    long wrong = variant.results().stream().filter(e -> e.outcome() == Outcome.WRONG).count();
    add("each caller gets the whole answer to its own request", wrong == 0, wrong + " wrong", "0");
  }

  private void checkUnknownOutcomes() {
    long unknown = variant.results().stream().filter(e -> e.outcome() == Outcome.UNKNOWN).count();
    double fraction = variant.results().isEmpty() ? 0 : unknown / (double) variant.results().size();
    add(
        "requests whose run is not known",
        fraction <= limits.unknownAtMost(),
        unknown + " (" + formatPercent(fraction) + ")",
        "at most " + formatPercent(limits.unknownAtMost()));
  }

  private void checkAtMostOnce() {
    int repeated = 0;
    String example = "";
    for (RequestResult result : variant.results()) {
      int runs = variant.executions().getOrDefault(result.arrival().requestId(), 0);
      if (!result.arrival().repeatable() && runs > 1) {
        repeated++;
        example = ", such as " + result.arrival().requestId() + " (" + runs + " runs)";
      }
    }
    add(
        "what must not repeat runs at most once",
        repeated == 0,
        repeated + " ran more than once" + example,
        "0");
  }

  private void checkNotRunOutcomes() {
    int ranAnyway = 0;
    int notRunCount = 0;
    String example = "";
    for (RequestResult result : variant.results()) {
      if (result.outcome() != Outcome.NOT_RUN) {
        continue;
      }
      notRunCount++;
      if (variant.executions().getOrDefault(result.arrival().requestId(), 0) > 0) {
        ranAnyway++;
        example = ", such as " + result.arrival().requestId() + " (" + result.code() + ")";
      }
    }
    add(
        "what callers are told was not run was not run",
        ranAnyway == 0,
        ranAnyway + " of " + notRunCount + " had run" + example,
        "0");
  }

  private void checkSlots() {
    int maxExcess = 0;
    int readingsOverLimit = 0;
    String where = "";
    Samples samples = variant.samples();
    for (int sample = 0; sample < samples.sampleCount(); sample++) {
      for (int target = 0; target < samples.targets().size(); target++) {
        TargetView.Reading reading = samples.readings().get(sample).get(target);
        TargetView view = samples.targets().get(target);
        int excess = reading.busy() + reading.queued() - view.slots();
        readingsOverLimit += excess > 0 ? 1 : 0;
        if (excess > maxExcess) {
          maxExcess = excess;
          where =
              ", first at " + view.id() + " after " + formatMillis(samples.atNanos().get(sample));
        }
      }
    }
    add(
        "no target holds more than its slots",
        maxExcess == 0,
        "at most " + maxExcess + " beyond its slots, in " + readingsOverLimit + " readings" + where,
        "0");
  }

  private void checkShiftCaps() {
    ShiftCapCheck check = ShiftCapCheck.of(variant);
    checks.add(check.checkTargets());
    checks.add(check.checkRegions());
  }

  private void checkDrains() {
    for (FaultSchedule.InjectedFault fault : variant.injected()) {
      if (fault.fault().kind() == FaultKind.DRAIN_TARGET && fault.succeeded()) {
        checkDrain(fault);
      }
    }
  }

  private void checkDrain(FaultSchedule.InjectedFault fault) {
    Samples samples = variant.samples();
    List<Integer> chosen = samples.targetIndexes(target -> target.id().equals(fault.affected()));
    if (chosen.isEmpty()) {
      add("drain of " + fault.affected(), false, "no such target", "a target of the experiment");
      return;
    }
    long[] started = samples.startedCounts(chosen);
    long announcedNanos = fault.atNanos();
    long lastStart = announcedNanos;
    long startedBefore = 0;
    long idleNanos = -1;
    for (int sample = 1; sample < samples.sampleCount(); sample++) {
      long sampledNanos = samples.atNanos().get(sample);
      TargetView.Reading reading = samples.readings().get(sample).get(chosen.get(0));
      if (sampledNanos > announcedNanos && started[sample] > started[sample - 1]) {
        lastStart = sampledNanos;
      }
      boolean isIdle = reading.busy() + reading.queued() == 0;
      if (sampledNanos <= announcedNanos) {
        startedBefore = started[sample];
      } else {
        idleNanos = isIdle ? (idleNanos < 0 ? sampledNanos : idleNanos) : -1;
      }
    }
    long lateNanos = lastStart - announcedNanos;
    add(
        "leaving target " + fault.affected() + " gets no new work",
        startedBefore > 0 && lateNanos <= limits.noNewWorkAfter().toNanos(),
        startedBefore
            + " starts before the announcement, the last "
            + formatMillis(lateNanos)
            + " after it",
        "some before, at most " + formatMillis(limits.noNewWorkAfter().toNanos()) + " after");
    add(
        "drain time of " + fault.affected(),
        idleNanos >= 0 && idleNanos - announcedNanos <= limits.drainWithin().toNanos(),
        idleNanos < 0
            ? "not idle at the end"
            : "idle " + formatMillis(idleNanos - announcedNanos) + " after the announcement",
        "at most " + formatMillis(limits.drainWithin().toNanos()));
    checkNothingCutOff(fault);
  }

  private void checkNothingCutOff(FaultSchedule.InjectedFault fault) {
    long cutOffCount =
        variant.results().stream()
            .filter(result -> result.target().equals(fault.affected()))
            .filter(
                result -> result.outcome() != Outcome.WHOLE && result.outcome() != Outcome.NOT_RUN)
            .count();
    add(
        "drain of " + fault.affected() + " cuts nothing off",
        cutOffCount == 0,
        cutOffCount + " cut off",
        "0");
  }

  private void checkContractInForce() {
    Duration limit = limits.inForceWithin();
    for (FaultSchedule.InjectedFault fault : variant.injected()) {
      if (fault.fault().kind() != FaultKind.CHANGE_CONTRACT || !fault.succeeded()) {
        continue;
      }
      long inForceDelayNanos = fault.inForceDelayNanos();
      add(
          "changed contract is in force everywhere",
          inForceDelayNanos >= 0 && inForceDelayNanos <= limit.toNanos(),
          inForceDelayNanos < 0 ? "not within 30 s" : "after " + formatMillis(inForceDelayNanos),
          "within " + formatMillis(limit.toNanos()));
    }
  }

  private void checkService(ServiceLimit limit) {
    String service = limit.service();
    double latencyMillis = variant.latency(service).getValueAtPercentile(limit.percentile()) / 1e3;
    add(
        service + ": latency at percentile " + limit.percentile(),
        latencyMillis <= limit.latencyAtMost().toNanos() / 1e6,
        String.format(Locale.ROOT, "%.1f ms", latencyMillis),
        "at most " + formatMillis(limit.latencyAtMost().toNanos()));
    double completeFraction = variant.completeFraction(service);
    add(
        service + ": whole answers",
        completeFraction >= limit.wholeAtLeast(),
        formatPercent(completeFraction) + " " + describe(variant.countsByOutcome(service)),
        "at least " + formatPercent(limit.wholeAtLeast()));
    if (!variant.samples().targets().isEmpty()) {
      double headroom = variant.minHeadroom(service);
      add(
          service + ": headroom at the busiest moment",
          headroom >= limit.headroomAtLeast(),
          formatPercent(headroom),
          "at least " + formatPercent(limit.headroomAtLeast()));
    }
  }

  private static String describe(Map<Outcome, Integer> counts) {
    return counts.toString();
  }

  private void add(String name, boolean holds, String measured, String required) {
    checks.add(new CheckResult(name, holds, measured, required));
  }

  static String formatPercent(double fraction) {
    return String.format(Locale.ROOT, "%.2f %%", 100 * fraction);
  }

  static String formatMillis(long nanos) {
    return String.format(Locale.ROOT, "%.0f ms", nanos / 1e6);
  }
}
