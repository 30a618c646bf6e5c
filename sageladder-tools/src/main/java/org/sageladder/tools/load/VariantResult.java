package org.sageladder.tools.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.sageladder.tools.load.RequestResult.Outcome;
import org.sageladder.tools.timeline.ProcessEvents;

/**
 * What one variant of an experiment gave.
 *
 * @param name {@code sageladder} or the name of a baseline
 * @param executions how often each request was started, over all targets, by key
 * @param events what the system's processes recorded; empty where none was asked
 * @param maxSenderLagNanos how far the tool itself lagged behind the arrivals, at most
 */
public record VariantResult(
    String name,
    Experiment experiment,
    List<RequestResult> results,
    Samples samples,
    List<FaultSchedule.InjectedFault> injected,
    Map<String, Integer> executions,
    List<ProcessEvents> events,
    long maxSenderLagNanos) {
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

  /** Copies the collections, so that the result cannot change. */
  public VariantResult {
    results = List.copyOf(results);
    injected = List.copyOf(injected);
    executions = Map.copyOf(executions);
    events = List.copyOf(events);
  }

  /** Endings of one service. */
  List<RequestResult> results(String service) {
    return results.stream().filter(result -> result.arrival().service().equals(service)).toList();
  }

  /** True where the request was due after the warm-up. */
  boolean isAfterWarmUp(RequestResult result) {
    return isAfterWarmUp(result.arrival().dueNanos());
  }

  private boolean isAfterWarmUp(long nanos) {
    return nanos >= experiment.warmUp().toNanos();
  }

  /** Latency of whole answers of one service after the warm-up, in microseconds. */
  Histogram latency(String service) {
    Histogram histogram = new Histogram(MAX_LATENCY_MICROS, 3);
    for (RequestResult result : results(service)) {
      if (result.outcome() == Outcome.WHOLE && isAfterWarmUp(result)) {
        histogram.recordValue(
            Math.min(MAX_LATENCY_MICROS, Math.max(1, result.latencyNanos() / 1_000)));
      }
    }
    return histogram;
  }

  /** Number of endings of one service by what the caller was told. */
  Map<Outcome, Integer> countsByOutcome(String service) {
    Map<Outcome, Integer> counts = new HashMap<>();
    results(service).forEach(result -> counts.merge(result.outcome(), 1, Integer::sum));
    return counts;
  }

  /** Share of whole answers among all requests of one service; 1 where there were none. */
  double wholeFraction(String service) {
    int all = results(service).size();
    return all == 0 ? 1 : countsByOutcome(service).getOrDefault(Outcome.WHOLE, 0) / (double) all;
  }

  /** Share of whole answers that came from a target outside the caller's region. */
  double crossRegionFraction(String service) {
    Map<String, String> regionOfTarget = new HashMap<>();
    for (TargetView target : samples.targets()) {
      experiment
          .contract()
          .regionOfZone(target.zone())
          .ifPresent(region -> regionOfTarget.put(target.id(), region.name()));
    }
    int whole = 0;
    int crossRegion = 0;
    for (RequestResult result : results(service)) {
      String region = regionOfTarget.get(result.target());
      if (result.outcome() == Outcome.WHOLE && region != null) {
        whole++;
        crossRegion += region.equals(result.arrival().region()) ? 0 : 1;
      }
    }
    return whole == 0 ? 0 : crossRegion / (double) whole;
  }

  /** Free slots of a service's targets at its busiest moment after the warm-up, as a fraction. */
  double minHeadroom(String service) {
    double[] headroom =
        samples.headroomFractions(
            samples.targetIndexes(target -> target.service().equals(service)));
    double min = 1;
    for (int step = 0; step < headroom.length; step++) {
      if (isAfterWarmUp(samples.atNanos().get(step))) {
        min = Math.min(min, headroom[step]);
      }
    }
    return min;
  }
}
