package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.forward.Loop;

/** Following the store through its failures. */
class StoreFollowerTest {
  /** A store whose watches are answered by the test. */
  private static final class WatchedStore extends FakeStore {
    final LinkedBlockingQueue<Consumer<StoreResult<StorePage>>> watches =
        new LinkedBlockingQueue<>();

    @Override
    public void read(
        @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback) {
      callback.accept(new StoreResult.Done<>(page(10)));
    }

    @Override
    public void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> callback) {
      watches.add(callback);
    }
  }

  /** Records the evacuated zones in order. */
  private static final class ZoneRecorder implements StoreFollower.Listener {
    final List<String> evacuated = new ArrayList<>();
    final List<String> notApplied = new ArrayList<>();
    boolean failsAfterInitialRead;

    @Override
    public void onChanged(String key, ItemContent content) {
      if (key.equals("overflowing")) {
        throw new StackOverflowError();
      }
      if (content instanceof ItemContent.ZoneEvacuated zone) {
        evacuated.add(zone.zone());
      }
    }

    @Override
    public void onRemoved(String key, ItemContent previous, int removedTargetCount) {
      evacuated.remove(key);
    }

    @Override
    public void onMalformed(
        String key, long revision, @Nullable ItemContent previous, ItemContent.Malformed item) {}

    @Override
    public void onNotApplied(String key, long revision, Throwable failure) {
      notApplied.add(key + " " + revision);
    }

    @Override
    public void onInitialReadComplete() {
      if (failsAfterInitialRead) {
        failsAfterInitialRead = false;
        throw new IllegalStateException("initial read");
      }
    }
  }

  private final Loop loop = Loop.start();
  private final WatchedStore store = new WatchedStore();
  private final ZoneRecorder zoneRecorder = new ZoneRecorder();
  private final StoreFollower follower =
      StoreFollower.start(loop, store, zoneRecorder, EventSink.none());

  private static StorePage page(long asOf, StoreItem... items) {
    return new StorePage(List.of(items), false, asOf);
  }

  private static StoreItem evacuated(String zone, long revision) {
    return new StoreItem(zone, revision, new ItemContent.ZoneEvacuated(zone));
  }

  private Consumer<StoreResult<StorePage>> nextWatch() throws InterruptedException {
    Consumer<StoreResult<StorePage>> watch = store.watches.poll(60, TimeUnit.SECONDS);
    if (watch == null) {
      throw new AssertionError("no watch was started");
    }
    return watch;
  }

  private void onLoop(Runnable task) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            task.run();
            done.complete(null);
          } catch (RuntimeException | Error e) {
            done.completeExceptionally(e);
          }
        });
    done.get();
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  /**
   * The store was silent for 8 s and recovered, but never answered the watch from that time. The VM
   * went on using rules that had been replaced 2.6 s before, although lease renewals were answered.
   */
  @Test
  void watchIsRestartedAfterTheStoreWasSilent() throws Exception {
    Consumer<StoreResult<StorePage>> oldWatch = nextWatch();
    onLoop(() -> follower.onStoreCall(false));
    onLoop(() -> follower.onStoreCall(true));
    Consumer<StoreResult<StorePage>> newWatch = nextWatch();
    onLoop(() -> newWatch.accept(new StoreResult.Done<>(page(12, evacuated("z-1", 12)))));
    assertEquals(List.of("z-1"), zoneRecorder.evacuated);
    onLoop(() -> oldWatch.accept(new StoreResult.Done<>(page(11, evacuated("z-0", 11)))));
    assertEquals(List.of("z-1"), zoneRecorder.evacuated);
  }

  /** Requests on a route added during a silence got 404 between its end and the news of it. */
  @Test
  void vmIsOutOfContactUntilTheChangesFromASilenceHaveArrived() throws Exception {
    nextWatch();
    onLoop(
        () -> {
          follower.onStoreCall(false);
          follower.onStoreCall(true);
          assertTrue(follower.isOutOfContact());
        });
    Consumer<StoreResult<StorePage>> newWatch = nextWatch();
    onLoop(() -> newWatch.accept(new StoreResult.Done<>(page(12))));
    onLoop(() -> assertFalse(follower.isOutOfContact()));
  }

  /** Requests on a route added shortly before a VM started got 404 if its first read was stale. */
  @Test
  void vmIsOutOfContactUntilTheChangesSinceItsFirstReadHaveArrived() throws Exception {
    Consumer<StoreResult<StorePage>> first = nextWatch();
    onLoop(
        () -> {
          assertTrue(follower.isOutOfContact());
          first.accept(new StoreResult.Done<>(page(12)));
          assertFalse(follower.isOutOfContact());
        });
  }

  /** Answered calls start no new watch unless one failed before, since each watch is priced. */
  @Test
  void answeredCallsStartNoWatchWithoutAFailure() throws Exception {
    Consumer<StoreResult<StorePage>> pendingWatch = nextWatch();
    onLoop(() -> follower.onStoreCall(true));
    onLoop(() -> follower.onStoreCall(true));
    assertEquals(0, store.watches.size());
    onLoop(() -> pendingWatch.accept(new StoreResult.Done<>(page(11, evacuated("z-1", 11)))));
    assertEquals(List.of("z-1"), zoneRecorder.evacuated);
  }

  /**
   * A removed target kept receiving requests for 1.2 s, as after a store outage: before the first
   * failure, the time since the last one was computed from the smallest long, and overflowed.
   */
  @Test
  void noFailureIsReportedBeforeTheFirstOne() throws Exception {
    nextWatch();
    onLoop(() -> assertFalse(follower.hadFailureWithin(3_000)));
    onLoop(() -> follower.onStoreCall(false));
    onLoop(() -> follower.onStoreCall(false));
    onLoop(() -> assertTrue(follower.hadFailureWithin(0)));
    onLoop(() -> follower.onStoreCall(true));
    onLoop(() -> assertTrue(follower.hadFailureWithin(60_000)));
  }

  /** Guards against removals that are held after one call on a connection that was silent. */
  @Test
  void aSingleCallWithoutAnAnswerIsNoOutage() throws Exception {
    nextWatch();
    onLoop(() -> follower.onStoreCall(false));
    onLoop(() -> follower.onStoreCall(true));
    onLoop(() -> assertFalse(follower.hadFailureWithin(60_000)));
  }

  /** Guards against removals that are held as lapsed leases although the store was never away. */
  @Test
  void answersThatCannotBeUsedAndSingleCutWatchesAreNoFailuresOfTheStore() throws Exception {
    for (StoreResult<StorePage> result :
        List.<StoreResult<StorePage>>of(
            new StoreResult.Failed<>("no response"),
            new StoreResult.Failed<>("the response is too long", true),
            new StoreResult.Gone<>())) {
      Consumer<StoreResult<StorePage>> watch = nextWatch();
      onLoop(() -> watch.accept(result));
      Consumer<StoreResult<StorePage>> next = nextWatch();
      onLoop(() -> next.accept(new StoreResult.Done<>(page(11))));
      onLoop(() -> assertFalse(follower.hadFailureWithin(60_000), result.toString()));
    }
    Consumer<StoreResult<StorePage>> first = nextWatch();
    onLoop(() -> first.accept(new StoreResult.Failed<>("no response")));
    Consumer<StoreResult<StorePage>> second = nextWatch();
    onLoop(() -> second.accept(new StoreResult.Failed<>("no response")));
    onLoop(() -> assertTrue(follower.hadFailureWithin(60_000)));
  }

  /** A repeated or older change does not undo a newer one. */
  @Test
  void olderRevisionOfAnItemIsIgnored() throws Exception {
    Consumer<StoreResult<StorePage>> first = nextWatch();
    onLoop(
        () ->
            first.accept(
                new StoreResult.Done<>(
                    page(14, evacuated("z-1", 14), new StoreItem("z-1", 13, null)))));
    assertEquals(List.of("z-1"), zoneRecorder.evacuated);
  }

  /** Guards against a VM that follows nothing any more after one item could not be applied. */
  @Test
  void itemThatCannotBeAppliedNeitherHidesOthersNorEndsTheFollowing() throws Exception {
    Consumer<StoreResult<StorePage>> first = nextWatch();
    StoreItem overflowing =
        new StoreItem("overflowing", 11, new ItemContent.ZoneEvacuated("overflowing"));
    onLoop(() -> first.accept(new StoreResult.Done<>(page(12, overflowing, evacuated("z-1", 12)))));
    assertEquals(List.of("z-1"), zoneRecorder.evacuated);
    assertEquals(List.of("overflowing 11"), zoneRecorder.notApplied);
    Consumer<StoreResult<StorePage>> second = nextWatch();
    onLoop(() -> second.accept(new StoreResult.Done<>(page(13, evacuated("z-2", 13)))));
    assertEquals(List.of("z-1", "z-2"), zoneRecorder.evacuated);
  }

  /** Guards against a VM that never watches since its listener failed after the first read. */
  @Test
  void watchStartsAlthoughTheListenerFailsAfterTheInitialRead() throws Exception {
    WatchedStore watched = new WatchedStore();
    ZoneRecorder failing = new ZoneRecorder();
    failing.failsAfterInitialRead = true;
    StoreFollower started = StoreFollower.start(loop, watched, failing, EventSink.none());
    Consumer<StoreResult<StorePage>> watch = watched.watches.poll(60, TimeUnit.SECONDS);
    assertNotNull(watch);
    onLoop(() -> assertTrue(started.hadFailureWithin(60_000)));
  }

  /** Guards against a VM that follows nothing any more since the result of a call was lost. */
  @Test
  void followingStartsAgainAfterTheResultOfACallWasLost() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    VirtualTime time = VirtualTime.startingAt(0);
    Loop frozen = Loop.on(channel.eventLoop(), time, new NoNetwork(), Runnable::run);
    WatchedStore silent = new WatchedStore();
    StoreFollower started =
        StoreFollower.start(frozen, silent, new ZoneRecorder(), EventSink.none());
    channel.runPendingTasks();
    assertEquals(1, silent.watches.size());
    for (int second = 0; second < 30; second++) {
      time.advance(Duration.ofSeconds(1));
      channel.advanceTimeBy(1, TimeUnit.SECONDS);
      channel.runScheduledPendingTasks();
    }
    assertEquals(2, silent.watches.size());
    assertTrue(started.hadFailureWithin(60_000));
  }
}
