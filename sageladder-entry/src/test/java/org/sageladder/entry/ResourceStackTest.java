package org.sageladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a daemon's parts end. */
class ResourceStackTest {
  private final List<String> closed = new ArrayList<>();

  // An operator stops an entry VM and finds a stack trace in its log each time: the connections to
  // targets were closed before the poller that uses them.
  @Test
  void resourcesAreClosedInReverseOrder() {
    try (ResourceStack parts = ResourceStack.empty()) {
      parts.add(() -> closed.add("connections"));
      parts.add(() -> closed.add("poller"));
    }
    assertEquals(List.of("poller", "connections"), closed);
  }

  // A port is taken, so the daemon cannot start; one part fails to close, and the threads of the
  // others would keep a process alive that serves nobody.
  @Test
  void failureToCloseOneResourceDoesNotKeepOthersOpen() {
    try (ResourceStack parts = ResourceStack.empty()) {
      parts.add(() -> closed.add("store"));
      parts.add(
          () -> {
            throw new IllegalStateException("already closed");
          });
      parts.add(() -> closed.add("timers"));
    }
    assertEquals(List.of("timers", "store"), closed);
  }
}
