package org.sageladder.tools.timeline;

import java.util.List;
import org.sageladder.core.event.Event;

/**
 * The events fetched from one process.
 *
 * @param vm name of the VM that runs the process
 * @param lostCount number of events that were overwritten before they were fetched
 * @param clockOffset lead of the process's event clock over the collector's clock
 */
public record ProcessEvents(
    String vm,
    long incarnation,
    String zone,
    long lostCount,
    ClockOffset clockOffset,
    List<Event> events) {
  /** Copies the list, which makes the record immutable. */
  public ProcessEvents {
    events = List.copyOf(events);
  }
}
