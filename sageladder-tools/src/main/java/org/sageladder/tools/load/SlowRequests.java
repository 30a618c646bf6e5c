package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.RequestResult.Outcome;
import org.sageladder.tools.timeline.TimeLine;

/** The slowest and the lost requests of a variant with what the time line tells of them. */
final class SlowRequests {
  /** Enough to see whether one cause repeats. */
  private static final int MAX_PER_SERVICE = 3;

  private final Map<RequestResult, List<TimeLine.Entry>> eventsByRequest;

  private SlowRequests(Map<RequestResult, List<TimeLine.Entry>> eventsByRequest) {
    this.eventsByRequest = eventsByRequest;
  }

  /**
   * Of each service the slowest whole answers after the warm-up, slowest first, and some requests
   * whose run is not known or whose answer was wrong.
   */
  static SlowRequests of(VariantResult variant) {
    TimeLine timeLine = TimeLine.merge(variant.events());
    List<RequestResult> chosen = new ArrayList<>();
    for (Contract.Service service : variant.experiment().contract().services()) {
      variant.results(service.name()).stream()
          .filter(ending -> ending.outcome() == Outcome.WHOLE && variant.isAfterWarmUp(ending))
          .sorted(Comparator.comparingLong(RequestResult::latencyNanos).reversed())
          .limit(MAX_PER_SERVICE)
          .forEach(chosen::add);
      variant.results(service.name()).stream()
          .filter(
              ending -> ending.outcome() == Outcome.UNKNOWN || ending.outcome() == Outcome.WRONG)
          .limit(MAX_PER_SERVICE)
          .forEach(chosen::add);
    }
    Map<RequestResult, List<TimeLine.Entry>> eventsByRequest = new LinkedHashMap<>();
    chosen.forEach(ending -> eventsByRequest.put(ending, new ArrayList<>()));
    Map<String, List<TimeLine.Entry>> eventsByRequestId =
        chosen.stream()
            .collect(Collectors.toMap(e -> e.arrival().requestId(), eventsByRequest::get));
    for (TimeLine.Entry entry :
        timeLine.entries(event -> eventsByRequestId.containsKey(event.request()))) {
      eventsByRequestId.get(entry.event().request()).add(entry);
    }
    return new SlowRequests(eventsByRequest);
  }

  /** What the time line has of each; empty where no events were fetched. */
  Map<RequestResult, List<TimeLine.Entry>> eventsByRequest() {
    return eventsByRequest;
  }
}
