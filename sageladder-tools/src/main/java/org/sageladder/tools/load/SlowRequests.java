package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Ending.What;
import org.sageladder.tools.timeline.TimeLine;

/** The slowest requests of a variant with what the time line tells of them. */
final class SlowRequests {
  /** Enough to see whether one cause repeats. */
  private static final int OF_EACH_SERVICE = 3;

  private final Map<Ending, List<TimeLine.Entry>> stories;
  private final TimeLine line;

  private SlowRequests(Map<Ending, List<TimeLine.Entry>> stories, TimeLine line) {
    this.stories = stories;
    this.line = line;
  }

  /** The slowest whole answers of each service after the warm-up, slowest first. */
  static SlowRequests of(VariantResult variant) {
    TimeLine line = TimeLine.merge(variant.events());
    List<Ending> slowest = new ArrayList<>();
    for (Contract.Service service : variant.experiment().contract().services()) {
      variant.endings(service.name()).stream()
          .filter(ending -> ending.what() == What.WHOLE && variant.isWarm(ending))
          .sorted(Comparator.comparingLong(Ending::latencyNanos).reversed())
          .limit(OF_EACH_SERVICE)
          .forEach(slowest::add);
    }
    Map<Ending, List<TimeLine.Entry>> stories = new LinkedHashMap<>();
    slowest.forEach(ending -> stories.put(ending, new ArrayList<>()));
    Map<String, List<TimeLine.Entry>> byId =
        slowest.stream().collect(Collectors.toMap(e -> e.arrival().key(), stories::get));
    for (TimeLine.Entry entry : line.entries(event -> byId.containsKey(event.request()))) {
      byId.get(entry.event().request()).add(entry);
    }
    return new SlowRequests(stories, line);
  }

  /** What the time line has of each; empty where no events were fetched. */
  Map<Ending, List<TimeLine.Entry>> stories() {
    return stories;
  }

  /** The time line of the whole variant. */
  TimeLine line() {
    return line;
  }

  /** Ids of the requests. */
  Set<String> ids() {
    return stories.keySet().stream().map(e -> e.arrival().key()).collect(Collectors.toSet());
  }
}
