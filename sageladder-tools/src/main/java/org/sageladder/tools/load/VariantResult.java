package org.sageladder.tools.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.sageladder.tools.load.Ending.What;
import org.sageladder.tools.timeline.ProcessEvents;

/**
 * What one variant of an experiment gave.
 *
 * @param name {@code sageladder} or the name of a baseline
 * @param executions how often each request was started, over all targets, by key
 * @param events what the system's processes recorded; empty where none was asked
 * @param senderLagNanos how far the tool itself lagged behind the arrivals, at most
 */
public record VariantResult(
    String name,
    Experiment experiment,
    List<Ending> endings,
    Samples samples,
    List<FaultSchedule.Injected> injected,
    Map<String, Integer> executions,
    List<ProcessEvents> events,
    long senderLagNanos) {
  private static final long LONGEST_MICROS = 3_600_000_000L;

  /** Copies the collections, so that the result cannot change. */
  public VariantResult {
    endings = List.copyOf(endings);
    injected = List.copyOf(injected);
    executions = Map.copyOf(executions);
    events = List.copyOf(events);
  }

  /** Endings of one service. */
  List<Ending> endings(String service) {
    return endings.stream().filter(ending -> ending.arrival().service().equals(service)).toList();
  }

  /** True where the request was due after the warm-up. */
  boolean isWarm(Ending ending) {
    return isWarm(ending.arrival().dueNanos());
  }

  private boolean isWarm(long nanos) {
    return nanos >= experiment.warmUp().toNanos();
  }

  /** Latency of whole answers of one service after the warm-up, in microseconds. */
  Histogram latency(String service) {
    Histogram histogram = new Histogram(LONGEST_MICROS, 3);
    for (Ending ending : endings(service)) {
      if (ending.what() == What.WHOLE && isWarm(ending)) {
        histogram.recordValue(Math.min(LONGEST_MICROS, Math.max(1, ending.latencyNanos() / 1_000)));
      }
    }
    return histogram;
  }

  /** Number of endings of one service by what the caller was told. */
  Map<What, Integer> counts(String service) {
    Map<What, Integer> counts = new HashMap<>();
    endings(service).forEach(ending -> counts.merge(ending.what(), 1, Integer::sum));
    return counts;
  }

  /** Share of whole answers among all requests of one service; 1 where there were none. */
  double wholeShare(String service) {
    int all = endings(service).size();
    return all == 0 ? 1 : counts(service).getOrDefault(What.WHOLE, 0) / (double) all;
  }

  /** Share of whole answers that came from a target outside the caller's region. */
  double abroadShare(String service) {
    Map<String, String> regionOfTarget = new HashMap<>();
    for (TargetView target : samples.targets()) {
      experiment
          .contract()
          .regionOfZone(target.zone())
          .ifPresent(region -> regionOfTarget.put(target.id(), region.name()));
    }
    int whole = 0;
    int abroad = 0;
    for (Ending ending : endings(service)) {
      String region = regionOfTarget.get(ending.target());
      if (ending.what() == What.WHOLE && region != null) {
        whole++;
        abroad += region.equals(ending.arrival().region()) ? 0 : 1;
      }
    }
    return whole == 0 ? 0 : abroad / (double) whole;
  }

  /** Free slots of a service's targets at its busiest moment after the warm-up, as a fraction. */
  double leastHeadroom(String service) {
    double[] headroom =
        samples.headroom(samples.choose(target -> target.service().equals(service)));
    double least = 1;
    for (int step = 0; step < headroom.length; step++) {
      if (isWarm(samples.atNanos().get(step))) {
        least = Math.min(least, headroom[step]);
      }
    }
    return least;
  }
}
