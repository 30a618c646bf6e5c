package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.forward.Loop;

/** A follower that does not apply what it learns notices it. */
class StoreFollowerProgressTest {
  /** A store at a revision of the test's choice, whose watches are never answered. */
  private static final class SilentWatchStore extends FakeStore {
    long revision = 10;
    StoreItem[] items = {};

    @Override
    public void read(
        @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback) {
      callback.accept(new StoreResult.Done<>(new StorePage(List.of(items), false, revision)));
    }

    @Override
    public void watch(long after, long waitMillis, Consumer<StoreResult<StorePage>> callback) {}
  }

  /** Records the evacuated zones; fails as often as the test says. */
  private static final class Zones implements StoreFollower.Listener {
    final List<String> evacuated = new ArrayList<>();
    final List<Error> failures = new ArrayList<>();

    @Override
    public void onChanged(String key, ItemContent content) {
      if (!failures.isEmpty()) {
        throw failures.remove(0);
      }
      evacuated.add(key);
    }

    @Override
    public void onRemoved(String key, ItemContent previous, int removedTargetCount) {}

    @Override
    public void onMalformed(
        String key, long revision, @Nullable ItemContent previous, ItemContent.Malformed item) {}

    @Override
    public void onNotApplied(String key, long revision, Throwable failure) {}

    @Override
    public void onInitialReadComplete() {}
  }

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final VirtualTime time = VirtualTime.startingAt(0);
  private final Loop loop = Loop.on(channel.eventLoop(), time, new NoNetwork(), Runnable::run);
  private final SilentWatchStore store = new SilentWatchStore();
  private final Zones zones = new Zones();

  private StoreFollower start() {
    channel.freezeTime();
    StoreFollower follower = StoreFollower.start(loop, store, zones, EventSink.none());
    channel.runPendingTasks();
    return follower;
  }

  private void runFor(long seconds) {
    for (int i = 0; i < 10 * seconds; i++) {
      time.advance(Duration.ofMillis(100));
      channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  private static StoreItem evacuated(String zone, long revision) {
    return new StoreItem(zone, revision, new ItemContent.ZoneEvacuated(zone));
  }

  /** Guards against a VM that stays at an old version since a new one was not applied once. */
  @Test
  void itemThatCouldNotBeAppliedIsAppliedAgain() {
    zones.failures.add(new NoClassDefFoundError());
    zones.failures.add(new StackOverflowError());
    store.items = new StoreItem[] {evacuated("z-1", 9), evacuated("z-2", 10)};
    StoreFollower follower = start();
    assertTrue(follower.isOutOfContact());
    runFor(2);
    assertEquals(List.of("z-1", "z-2"), zones.evacuated);
    assertFalse(follower.isOutOfContact());
  }
}
