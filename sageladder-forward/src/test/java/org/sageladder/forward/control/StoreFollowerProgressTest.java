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

/** A follower that no longer learns, or does not apply what it learns, notices it. */
class StoreFollowerProgressTest {
  private static final long BOUND_SECONDS = 4;

  /** A store at a revision of the test's choice, whose watches are never answered. */
  private static final class SilentWatchStore extends FakeStore {
    long revision = 10;
    int strictReads;
    int revisionReads;
    int pastRevisionReads;

    /** What reads of the past return, or -1 for the current revision. */
    long pastRevision = -1;

    StoreItem[] items = {};

    @Override
    public void read(
        @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback) {
      strictReads += mayBeStale ? 0 : 1;
      callback.accept(new StoreResult.Done<>(new StorePage(List.of(items), false, revision)));
    }

    @Override
    public void watch(long after, long waitMillis, Consumer<StoreResult<StorePage>> callback) {}

    @Override
    public void readRevision(Consumer<StoreResult<Long>> callback) {
      revisionReads++;
      callback.accept(new StoreResult.Done<>(revision));
    }

    @Override
    public void readPastRevision(Consumer<StoreResult<Long>> callback) {
      pastRevisionReads++;
      callback.accept(new StoreResult.Done<>(pastRevision >= 0 ? pastRevision : revision));
    }
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

  /** Guards against a VM without news since its watch waits on a connection that is silent. */
  @Test
  void storeIsReadAgainIfItHasChangesThatTheWatchDoesNotDeliver() {
    StoreFollower follower = start();
    store.revision = 11;
    store.items = new StoreItem[] {evacuated("z-1", 11)};
    runFor(BOUND_SECONDS);
    assertEquals(List.of("z-1"), zones.evacuated);
    assertEquals(11, follower.progress().revision());
    assertEquals(1, follower.progress().timesBehind());
  }

  /** Guards against a VM without news for long since its watch became silent while it waited. */
  @Test
  void watchIsCheckedAgainAfterACheckThatFoundNoChanges() {
    start();
    runFor(5);
    store.revision = 11;
    store.items = new StoreItem[] {evacuated("z-1", 11)};
    runFor(BOUND_SECONDS);
    assertEquals(List.of("z-1"), zones.evacuated);
  }

  /** Guards against a VM that counts as up to date since a read of the past shows no changes. */
  @Test
  void pastRevisionConfirmsNothing() {
    StoreFollower follower = start();
    runFor(BOUND_SECONDS);
    assertTrue(store.pastRevisionReads > 0);
    assertEquals(-1, follower.progress().confirmationAgeMillis());
  }

  /** Guards against reads of all items while there is nothing new, since each is priced. */
  @Test
  void nothingIsReadAgainIfTheStoreHasNoChanges() {
    start();
    runFor(8);
    assertEquals(4, store.pastRevisionReads);
    assertEquals(0, store.revisionReads);
    assertEquals(0, store.strictReads);
  }

  /** Guards against reads again and again if the store counts changes that no watch delivers. */
  @Test
  void readsPauseAfterOneThatFoundNothingNew() {
    start();
    for (int second = 0; second < 60; second++) {
      store.revision++;
      runFor(1);
    }
    assertEquals(1, store.strictReads);
  }

  /** Guards against a VM that stays at an old version since a new one was not applied once. */
  @Test
  void itemThatCouldNotBeAppliedIsAppliedAgain() {
    zones.failures.add(new NoClassDefFoundError());
    zones.failures.add(new StackOverflowError());
    store.items = new StoreItem[] {evacuated("z-1", 9), evacuated("z-2", 10)};
    StoreFollower follower = start();
    assertTrue(follower.isOutOfContact());
    assertEquals(2, follower.progress().unappliedItems());
    runFor(2);
    assertEquals(List.of("z-1", "z-2"), zones.evacuated);
    assertEquals(0, follower.progress().unappliedItems());
    assertFalse(follower.isOutOfContact());
  }

  /** Guards against a final 404 on a new route at a VM whose watch is silent without its notice. */
  @Test
  void unknownRouteIsFinalOnlyOnceTheStoreHasConfirmedTheRules() {
    StoreFollower follower = start();
    store.pastRevision = 10;
    runFor(3);
    assertTrue(follower.mayHaveStaleRules());
    channel.runPendingTasks();
    assertFalse(follower.mayHaveStaleRules());
    store.revision = 11;
    runFor(3);
    assertTrue(follower.mayHaveStaleRules());
    runFor(2);
    assertEquals(11, follower.progress().revision());
    assertFalse(follower.mayHaveStaleRules());
  }

  /** Guards against a call to the store for each request on an unknown route. */
  @Test
  void requestsOnUnknownRoutesAskTheStoreAtMostOnceASecond() {
    StoreFollower follower = start();
    runFor(3);
    int before = store.revisionReads;
    for (int i = 0; i < 100; i++) {
      assertTrue(i > 0 || follower.mayHaveStaleRules());
      boolean unused = follower.mayHaveStaleRules();
    }
    assertEquals(before + 1, store.revisionReads);
  }

  /**
   * Guards against a final 404 on a new route at a VM that has only its first read, maybe stale.
   */
  @Test
  void theFirstReadConfirmsNothing() {
    StoreFollower follower = start();
    runFor(1);
    assertFalse(follower.isOutOfContact());
    assertTrue(follower.mayHaveStaleRules());
  }

  /** Guards against followers that believe a VM that has only its first read. */
  @Test
  void vmIsTooStaleToRelayBeforeTheStoreHasConfirmedWhatItKnows() {
    StoreFollower follower = start();
    assertTrue(follower.stalenessMillis() > ZoneChangeFeed.MAX_STALENESS_MILLIS);
  }

  /** Guards against followers that believe a VM whose watch alone is silent. */
  @Test
  void vmIsStaleWhileItsWatchDoesNotDeliverWhatTheStoreHas() {
    StoreFollower follower = start();
    assertEquals(StoreConfirmation.NEVER, follower.stalenessMillis());
    runFor(1);
    assertEquals(1_000, follower.stalenessMillis());
    assertEquals(0, follower.stalenessMillis());
    store.revision = 11;
    runFor(1);
    assertEquals(1_000, follower.stalenessMillis());
    assertEquals(1_000, follower.stalenessMillis());
  }

  /** Guards against a VM that is behind for seconds again since its next watch is silent too. */
  @Test
  void watchesAfterASilentOneAreCheckedRepeatedly() {
    StoreFollower follower = start();
    store.revision = 11;
    store.items = new StoreItem[] {evacuated("z-1", 11)};
    runFor(BOUND_SECONDS);
    runFor(4);
    store.revision = 12;
    store.items = new StoreItem[] {evacuated("z-1", 11), evacuated("z-2", 12)};
    runFor(3);
    assertEquals(List.of("z-1", "z-2"), zones.evacuated);
    assertEquals(2, follower.progress().timesBehind());
  }
}
