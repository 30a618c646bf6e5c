package org.sageladder.tools.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.sageladder.tools.load.RequestResult.Outcome;
import org.sageladder.tools.timeline.ProcessEvents;

/**
 * The results of one variant of an experiment.
 *
 * @param name {@code sageladder} or the name of a baseline
 * @param executions number of executions of each request over all targets, by request id
 * @param events events recorded by the system's processes; empty if none were fetched
 * @param maxSenderLagNanos longest delay between the time a request was due and the time the load
 *     generator started it
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

  /** Copies the collections, which makes the record immutable. */
  public VariantResult {
    results = List.copyOf(results);
    injected = List.copyOf(injected);
    executions = Map.copyOf(executions);
    events = List.copyOf(events);
  }

  /** Results of the requests to one service. */
  List<RequestResult> results(String service) {
    return results.stream().filter(result -> result.arrival().service().equals(service)).toList();
  }

  /** Returns true if the request was due after the warm-up. */
  boolean isAfterWarmUp(RequestResult result) {
    return isAfterWarmUp(result.arrival().dueNanos());
  }

  private boolean isAfterWarmUp(long nanos) {
    return nanos >= experiment.warmUp().toNanos();
  }

  /** Latency, in microseconds, of the complete answers of one service after the warm-up. */
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

  /** Number of requests to one service by outcome. */
  Map<Outcome, Integer> countsByOutcome(String service) {
    Map<Outcome, Integer> counts = new HashMap<>();
    results(service).forEach(result -> counts.merge(result.outcome(), 1, Integer::sum));
    return counts;
  }

  /**
   * Fraction of the requests to one service that got a complete answer; 1 if there were no
   * requests.
   */
  double completeFraction(String service) {
    int all = results(service).size();
    return all == 0 ? 1 : countsByOutcome(service).getOrDefault(Outcome.WHOLE, 0) / (double) all;
  }

  /** Fraction of complete answers that came from a target outside the caller's region. */
  double crossRegionFraction(String service) {
    Map<String, String> regionOfTarget = new HashMap<>();
    for (TargetView target : samples.targets()) {
      experiment
          .contract()
          .regionOfZone(target.zone())
          .ifPresent(region -> regionOfTarget.put(target.id(), region.name()));
    }
    int completeCount = 0;
    int crossRegion = 0;
    for (RequestResult result : results(service)) {
      String region = regionOfTarget.get(result.target());
      if (result.outcome() == Outcome.WHOLE && region != null) {
        completeCount++;
        crossRegion += region.equals(result.arrival().region()) ? 0 : 1;
      }
    }
    return completeCount == 0 ? 0 : crossRegion / (double) completeCount;
  }

  /** Smallest fraction of free slots over a service's targets at any sample after the warm-up. */
  double minHeadroom(String service) {
    double[] headroom =
        samples.headroomFractions(
            samples.targetIndexes(target -> target.service().equals(service)));
    double min = 1;
    for (int sample = 0; sample < headroom.length; sample++) {
      if (isAfterWarmUp(samples.atNanos().get(sample))) {
        min = Math.min(min, headroom[sample]);
      }
    }
    return min;
  }
}
