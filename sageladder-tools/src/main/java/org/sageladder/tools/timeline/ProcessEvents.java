package org.sageladder.tools.timeline;

import java.util.List;
import org.sageladder.core.event.Event;

/**
 * What was fetched from one process.
 *
 * @param vm name of the VM
 * @param lostCount events that had given way before they were fetched
 * @param clockOffset how far the process's event clock is from the collector's
 */
public record ProcessEvents(
    String vm,
    long incarnation,
    String zone,
    long lostCount,
    ClockOffset clockOffset,
    List<Event> events) {
  /** Copies the list, so that the events cannot change. */
  public ProcessEvents {
    events = List.copyOf(events);
  }
}
