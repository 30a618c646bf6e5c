package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Ending.What;
import org.sageladder.tools.timeline.TimeLine;

/** The slowest and the lost requests of a variant with what the time line tells of them. */
final class SlowRequests {
  /** Enough to see whether one cause repeats. */
  private static final int OF_EACH_SERVICE = 3;

  private final Map<Ending, List<TimeLine.Entry>> stories;

  private SlowRequests(Map<Ending, List<TimeLine.Entry>> stories) {
    this.stories = stories;
  }

  /**
   * Of each service the slowest whole answers after the warm-up, slowest first, and some requests
   * whose run is not known or whose answer was wrong.
   */
  static SlowRequests of(VariantResult variant) {
    TimeLine line = TimeLine.merge(variant.events());
    List<Ending> chosen = new ArrayList<>();
    for (Contract.Service service : variant.experiment().contract().services()) {
      variant.endings(service.name()).stream()
          .filter(ending -> ending.what() == What.WHOLE && variant.isWarm(ending))
          .sorted(Comparator.comparingLong(Ending::latencyNanos).reversed())
          .limit(OF_EACH_SERVICE)
          .forEach(chosen::add);
      variant.endings(service.name()).stream()
          .filter(ending -> ending.what() == What.UNKNOWN || ending.what() == What.WRONG)
          .limit(OF_EACH_SERVICE)
          .forEach(chosen::add);
    }
    Map<Ending, List<TimeLine.Entry>> stories = new LinkedHashMap<>();
    chosen.forEach(ending -> stories.put(ending, new ArrayList<>()));
    Map<String, List<TimeLine.Entry>> byId =
        chosen.stream().collect(Collectors.toMap(e -> e.arrival().key(), stories::get));
    for (TimeLine.Entry entry : line.entries(event -> byId.containsKey(event.request()))) {
      byId.get(entry.event().request()).add(entry);
    }
    return new SlowRequests(stories);
  }

  /** What the time line has of each; empty where no events were fetched. */
  Map<Ending, List<TimeLine.Entry>> stories() {
    return stories;
  }
}
