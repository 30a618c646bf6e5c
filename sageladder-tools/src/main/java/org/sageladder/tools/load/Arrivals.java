package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Experiment.Load;
import org.sageladder.tools.load.Experiment.RateStep;
import org.sageladder.tools.load.Experiment.RegionWeight;

/** Generates an experiment's arrivals in advance, so that every variant gets the same arrivals. */
final class Arrivals {
  private Arrivals() {}

  /** Returns all arrivals ordered by due time; each request id starts with {@code idPrefix}. */
  static List<Arrival> of(Experiment experiment, String idPrefix) {
    List<Arrival> arrivals = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(experiment.seed());
    for (Load load : experiment.loads()) {
      addArrivals(experiment.contract(), load, idPrefix, random.split(), arrivals);
    }
    arrivals.sort(Comparator.comparingLong(Arrival::dueNanos));
    return arrivals;
  }

  private static void addArrivals(
      Contract contract,
      Load load,
      String idPrefix,
      SplittableRandom random,
      List<Arrival> arrivals) {
    boolean repeatable = contract.service(load.service()).orElseThrow().repeatable();
    List<RegionWeight> weights = weightsOrUniform(contract, load);
    double startNanos = 0;
    int number = 0;
    for (RateStep step : load.steps()) {
      double endNanos = startNanos + step.duration().toNanos();
      double dueNanos = startNanos;
      while (step.rate() > 0) {
        dueNanos += -Math.log(1 - random.nextDouble()) * 1e9 / step.rate();
        if (dueNanos >= endNanos) {
          break;
        }
        String region = drawRegion(weights, random);
        arrivals.add(
            new Arrival(
                (long) dueNanos,
                idPrefix + "-" + load.service() + "-" + ++number,
                load.service(),
                repeatable,
                region,
                drawBlock(contract, region, random),
                load.deadline(),
                load.answerBytes()));
      }
      startNanos = endNanos;
    }
  }

  private static List<RegionWeight> weightsOrUniform(Contract contract, Load load) {
    if (!load.weights().isEmpty()) {
      return load.weights();
    }
    return contract.regions().stream().map(region -> new RegionWeight(region.name(), 1)).toList();
  }

  private static String drawRegion(List<RegionWeight> weights, SplittableRandom random) {
    double sum = weights.stream().mapToDouble(RegionWeight::weight).sum();
    double remaining = random.nextDouble() * sum;
    for (RegionWeight weight : weights) {
      remaining -= weight.weight();
      if (remaining < 0) {
        return weight.region();
      }
    }
    return weights.get(weights.size() - 1).region();
  }

  private static int drawBlock(Contract contract, String region, SplittableRandom random) {
    List<Contract.ClientBlocks> ranges =
        contract.clientBlocks().stream().filter(range -> range.region().equals(region)).toList();
    if (ranges.isEmpty()) {
      return 0;
    }
    Contract.ClientBlocks range = ranges.get(random.nextInt(ranges.size()));
    return random.nextInt(range.first(), range.last() + 1);
  }
}
