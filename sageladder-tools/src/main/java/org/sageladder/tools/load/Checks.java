package org.sageladder.tools.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sageladder.tools.load.Ending.What;
import org.sageladder.tools.load.Experiment.FaultKind;
import org.sageladder.tools.load.Experiment.Limits;
import org.sageladder.tools.load.Experiment.ServiceLimit;

/** Checks a variant against what must always hold and what its experiment demands. */
final class Checks {
  private final VariantResult result;
  private final Limits limits;
  private final List<CheckResult> checks = new ArrayList<>();

  private Checks(VariantResult result) {
    this.result = result;
    this.limits = result.experiment().limits();
  }

  static List<CheckResult> of(VariantResult result) {
    Checks checks = new Checks(result);
    checks.faultsInjected();
    checks.wholeAnswers();
    checks.unknownShare();
    if (!result.samples().targets().isEmpty()) {
      checks.atMostOnce();
      checks.trueRefusals();
      checks.slots();
      checks.caps();
      checks.drains();
    }
    checks.inForce();
    for (ServiceLimit limit : checks.limits.services()) {
      checks.service(limit);
    }
    return List.copyOf(checks.checks);
  }

  private void faultsInjected() {
    long failed = result.injected().stream().filter(fault -> !fault.done()).count();
    int missing = result.experiment().faults().size() - result.injected().size();
    add(
        "faults were injected",
        failed == 0 && missing == 0,
        failed + " failed, " + missing + " not reached",
        "all");
  }

  private void wholeAnswers() {
    long wrong = result.endings().stream().filter(e -> e.what() == What.WRONG).count();
    add("each caller gets the whole answer to its own request", wrong == 0, wrong + " wrong", "0");
  }

  private void unknownShare() {
    long unknown = result.endings().stream().filter(e -> e.what() == What.UNKNOWN).count();
    double share = result.endings().isEmpty() ? 0 : unknown / (double) result.endings().size();
    add(
        "requests whose run is not known",
        share <= limits.unknownAtMost(),
        unknown + " (" + percent(share) + ")",
        "at most " + percent(limits.unknownAtMost()));
  }

  private void atMostOnce() {
    int repeated = 0;
    String example = "";
    for (Ending ending : result.endings()) {
      int runs = result.executions().getOrDefault(ending.arrival().key(), 0);
      if (!ending.arrival().repeatable() && runs > 1) {
        repeated++;
        example = ", such as " + ending.arrival().key() + " (" + runs + " runs)";
      }
    }
    add(
        "what must not repeat runs at most once",
        repeated == 0,
        repeated + " ran more than once" + example,
        "0");
  }

  private void trueRefusals() {
    int untrue = 0;
    int refused = 0;
    String example = "";
    for (Ending ending : result.endings()) {
      if (ending.what() != What.NOT_RUN) {
        continue;
      }
      refused++;
      if (result.executions().getOrDefault(ending.arrival().key(), 0) > 0) {
        untrue++;
        example = ", such as " + ending.arrival().key() + " (" + ending.code() + ")";
      }
    }
    add(
        "what callers are told was not run was not run",
        untrue == 0,
        untrue + " of " + refused + " had run" + example,
        "0");
  }

  private void slots() {
    int most = 0;
    int looks = 0;
    String where = "";
    Samples samples = result.samples();
    for (int step = 0; step < samples.steps(); step++) {
      for (int target = 0; target < samples.targets().size(); target++) {
        TargetView.Reading reading = samples.readings().get(step).get(target);
        TargetView view = samples.targets().get(target);
        int beyond = reading.busy() + reading.queued() - view.slots();
        looks += beyond > 0 ? 1 : 0;
        if (beyond > most) {
          most = beyond;
          where = ", first at " + view.id() + " after " + millis(samples.atNanos().get(step));
        }
      }
    }
    add(
        "no target holds more than its slots",
        most == 0,
        "at most " + most + " beyond its slots, in " + looks + " looks" + where,
        "0");
  }

  private void caps() {
    CapCheck check = CapCheck.of(result);
    checks.add(check.targets());
    checks.add(check.regions());
  }

  private void drains() {
    for (FaultSchedule.Injected fault : result.injected()) {
      if (fault.fault().kind() == FaultKind.DRAIN_TARGET && fault.done()) {
        drain(fault);
      }
    }
  }

  private void drain(FaultSchedule.Injected fault) {
    Samples samples = result.samples();
    List<Integer> chosen = samples.choose(target -> target.id().equals(fault.hit()));
    if (chosen.isEmpty()) {
      add("drain of " + fault.hit(), false, "no such target", "a target of the experiment");
      return;
    }
    long[] started = samples.started(chosen);
    long signed = fault.atNanos();
    long lastStart = signed;
    long before = 0;
    long idle = -1;
    for (int step = 1; step < samples.steps(); step++) {
      long at = samples.atNanos().get(step);
      TargetView.Reading reading = samples.readings().get(step).get(chosen.get(0));
      if (at > signed && started[step] > started[step - 1]) {
        lastStart = at;
      }
      boolean isIdle = reading.busy() + reading.queued() == 0;
      if (at <= signed) {
        before = started[step];
      } else {
        idle = isIdle ? (idle < 0 ? at : idle) : -1;
      }
    }
    long late = lastStart - signed;
    add(
        "leaving target " + fault.hit() + " gets no new work",
        before > 0 && late <= limits.noNewWorkAfter().toNanos(),
        before + " starts before the sign, the last " + millis(late) + " after it",
        "some before, at most " + millis(limits.noNewWorkAfter().toNanos()) + " after");
    add(
        "drain time of " + fault.hit(),
        idle >= 0 && idle - signed <= limits.drainWithin().toNanos(),
        idle < 0 ? "not idle at the end" : "idle " + millis(idle - signed) + " after the sign",
        "at most " + millis(limits.drainWithin().toNanos()));
    cutOff(fault);
  }

  private void cutOff(FaultSchedule.Injected fault) {
    long cut =
        result.endings().stream()
            .filter(ending -> ending.target().equals(fault.hit()))
            .filter(ending -> ending.what() != What.WHOLE && ending.what() != What.NOT_RUN)
            .count();
    add("drain of " + fault.hit() + " cuts nothing off", cut == 0, cut + " cut off", "0");
  }

  private void inForce() {
    Duration limit = limits.inForceWithin();
    for (FaultSchedule.Injected fault : result.injected()) {
      if (fault.fault().kind() != FaultKind.CHANGE_CONTRACT || !fault.done()) {
        continue;
      }
      long nanos = fault.inForceNanos();
      add(
          "changed contract is in force everywhere",
          nanos >= 0 && nanos <= limit.toNanos(),
          nanos < 0 ? "not within 30 s" : "after " + millis(nanos),
          "within " + millis(limit.toNanos()));
    }
  }

  private void service(ServiceLimit limit) {
    String service = limit.service();
    double latency = result.latency(service).getValueAtPercentile(limit.percentile()) / 1e3;
    add(
        service + ": latency at percentile " + limit.percentile(),
        latency <= limit.latencyAtMost().toNanos() / 1e6,
        String.format(Locale.ROOT, "%.1f ms", latency),
        "at most " + millis(limit.latencyAtMost().toNanos()));
    double whole = result.wholeShare(service);
    add(
        service + ": whole answers",
        whole >= limit.wholeAtLeast(),
        percent(whole) + " " + describe(result.counts(service)),
        "at least " + percent(limit.wholeAtLeast()));
    if (!result.samples().targets().isEmpty()) {
      double headroom = result.leastHeadroom(service);
      add(
          service + ": headroom at the busiest moment",
          headroom >= limit.headroomAtLeast(),
          percent(headroom),
          "at least " + percent(limit.headroomAtLeast()));
    }
  }

  private static String describe(Map<What, Integer> counts) {
    return counts.toString();
  }

  private void add(String name, boolean holds, String measured, String required) {
    checks.add(new CheckResult(name, holds, measured, required));
  }

  static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f %%", 100 * share);
  }

  static String millis(long nanos) {
    return String.format(Locale.ROOT, "%.0f ms", nanos / 1e6);
  }
}
