package org.sageladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how the resources of a daemon are closed. */
class ResourceStackTest {
  private final List<String> closed = new ArrayList<>();

  // Each stop of an entry VM used to log a stack trace, because the connections to targets were
  // closed before the poller that uses them.
  @Test
  void resourcesAreClosedInReverseOrder() {
    try (ResourceStack resources = ResourceStack.empty()) {
      resources.add(() -> closed.add("connections"));
      resources.add(() -> closed.add("poller"));
    }
    assertEquals(List.of("poller", "connections"), closed);
  }

  // The daemon cannot start because a port is in use, and one resource fails to close. If the
  // others stayed open, their threads would keep the process alive although it serves no caller.
  @Test
  void failureToCloseOneResourceDoesNotKeepOthersOpen() {
    try (ResourceStack resources = ResourceStack.empty()) {
      resources.add(() -> closed.add("store"));
      resources.add(
          () -> {
            throw new IllegalStateException("already closed");
          });
      resources.add(() -> closed.add("timers"));
    }
    assertEquals(List.of("timers", "store"), closed);
  }
}
