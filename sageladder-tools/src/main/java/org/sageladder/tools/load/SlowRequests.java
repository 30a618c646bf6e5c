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

/** The slowest and the failed requests of a variant with their events from the time line. */
final class SlowRequests {
  /** Three are enough to see whether several requests share a cause. */
  private static final int MAX_PER_SERVICE = 3;

  private final Map<RequestResult, List<TimeLine.Entry>> eventsByRequest;

  private SlowRequests(Map<RequestResult, List<TimeLine.Entry>> eventsByRequest) {
    this.eventsByRequest = eventsByRequest;
  }

  /**
   * Selects, for each service, the slowest complete answers after the warm-up, slowest first, and a
   * few requests with outcome {@code UNKNOWN} or {@code WRONG}.
   */
  static SlowRequests of(VariantResult variant) {
    TimeLine timeLine = TimeLine.merge(variant.events());
    List<RequestResult> chosen = new ArrayList<>();
    for (Contract.Service service : variant.experiment().contract().services()) {
      variant.results(service.name()).stream()
          .filter(result -> result.outcome() == Outcome.WHOLE && variant.isAfterWarmUp(result))
          .sorted(Comparator.comparingLong(RequestResult::latencyNanos).reversed())
          .limit(MAX_PER_SERVICE)
          .forEach(chosen::add);
      variant.results(service.name()).stream()
          .filter(
              result -> result.outcome() == Outcome.UNKNOWN || result.outcome() == Outcome.WRONG)
          .limit(MAX_PER_SERVICE)
          .forEach(chosen::add);
    }
    Map<RequestResult, List<TimeLine.Entry>> eventsByRequest = new LinkedHashMap<>();
    chosen.forEach(result -> eventsByRequest.put(result, new ArrayList<>()));
    Map<String, List<TimeLine.Entry>> eventsByRequestId =
        chosen.stream()
            .collect(Collectors.toMap(e -> e.arrival().requestId(), eventsByRequest::get));
    for (TimeLine.Entry entry :
        timeLine.entries(event -> eventsByRequestId.containsKey(event.request()))) {
      eventsByRequestId.get(entry.event().request()).add(entry);
    }
    return new SlowRequests(eventsByRequest);
  }

  /**
   * The events of each selected request in time-line order; the lists are empty if no events were
   * fetched.
   */
  Map<RequestResult, List<TimeLine.Entry>> eventsByRequest() {
    return eventsByRequest;
  }
}
