package org.sageladder.tools.timeline;

import java.util.List;
import org.sageladder.core.event.Event;

/**
 * What was fetched from one process.
 *
 * @param process name of the VM
 * @param lost events that had given way before they were fetched
 * @param clock how far the process's event clock is from the collector's
 */
public record ProcessEvents(
    String process, long incarnation, String zone, long lost, Offset clock, List<Event> events) {
  /** Copies the list, so that the events cannot change. */
  public ProcessEvents {
    events = List.copyOf(events);
  }
}
