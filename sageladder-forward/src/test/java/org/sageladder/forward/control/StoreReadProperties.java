package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.forward.Loop;

/**
 * Compares what a follower knows with the store, whatever the ages of the pages that it reads.
 *
 * <p>Guards against a removed item that is never seen as removed: it was on a page older than the
 * first one, and its removal was in neither the read nor the watch.
 */
class StoreReadProperties {
  private static final int KEY_COUNT = 12;
  private static final int PAGE_ITEMS = 3;
  private static final int MAX_LAG = 15;
  private static final int STEPS = 40;

  /** A change of a key; the index in the history is the revision. */
  private record Change(String key, boolean isRemoval) {}

  /** A store whose items change between any two calls, and whose stale pages differ in age. */
  private static final class ChangingStore extends FakeStore {
    private final Random random;
    private final List<Change> history = new ArrayList<>();
    private boolean losesResults;
    private int oldestKept;
    private boolean isCalm;
    private @Nullable Runnable pendingWatch;

    ChangingStore(Random random) {
      this.random = random;
      history.add(new Change("", true));
      change(KEY_COUNT * 2);
    }

    private int revision() {
      return history.size() - 1;
    }

    void change(int count) {
      for (int i = 0; i < count; i++) {
        String key = String.format("k-%02d", random.nextInt(KEY_COUNT));
        boolean isPresent = itemsAt(revision()).containsKey(key);
        history.add(new Change(key, isPresent && random.nextBoolean()));
      }
    }

    Map<String, Integer> itemsAt(int revision) {
      Map<String, Integer> items = new TreeMap<>();
      for (int i = 1; i <= revision; i++) {
        Change change = history.get(i);
        if (change.isRemoval()) {
          items.remove(change.key());
        } else {
          items.put(change.key(), i);
        }
      }
      return items;
    }

    /** Changes items from now on only if {@code calm} is false; completes a pending watch. */
    void step(boolean calm) {
      isCalm = calm;
      if (!calm) {
        change(random.nextInt(3));
        if (random.nextInt(8) == 0) {
          oldestKept = revision() - random.nextInt(MAX_LAG);
        }
      }
      Runnable watch = pendingWatch;
      pendingWatch = null;
      if (watch != null) {
        watch.run();
      }
    }

    /** The result of a call is never returned, or returned twice. */
    private Consumer<StoreResult<StorePage>> unreliable(Consumer<StoreResult<StorePage>> callback) {
      if (!losesResults || isCalm) {
        return callback;
      }
      int times = List.of(0, 1, 1, 1, 1, 1, 1, 2).get(random.nextInt(8));
      return result -> {
        for (int i = 0; i < times; i++) {
          callback.accept(result);
        }
      };
    }

    private StoreResult<StorePage> failure(String cause) {
      return new StoreResult.Failed<>(cause, losesResults && random.nextBoolean());
    }

    private boolean fails() {
      return !isCalm && random.nextInt(6) == 0;
    }

    @Override
    public void read(
        @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback) {
      if (fails()) {
        callback.accept(failure("status 503"));
        return;
      }
      change(isCalm ? 0 : random.nextInt(3));
      int asOf = mayBeStale ? Math.max(1, revision() - random.nextInt(MAX_LAG)) : revision();
      List<StoreItem> items = new ArrayList<>();
      boolean hasMore = false;
      for (Map.Entry<String, Integer> item : itemsAt(asOf).entrySet()) {
        if (afterKey != null && item.getKey().compareTo(afterKey) <= 0) {
          continue;
        }
        hasMore = items.size() == PAGE_ITEMS;
        if (hasMore) {
          break;
        }
        items.add(itemOf(item.getKey(), item.getValue()));
      }
      unreliable(callback).accept(new StoreResult.Done<>(new StorePage(items, hasMore, asOf)));
    }

    @Override
    public void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> callback) {
      Consumer<StoreResult<StorePage>> answered = unreliable(callback);
      pendingWatch = () -> answerWatch((int) revision, answered);
    }

    @Override
    public void readRevision(Consumer<StoreResult<Long>> callback) {
      callback.accept(new StoreResult.Done<>((long) revision()));
    }

    @Override
    public void readPastRevision(Consumer<StoreResult<Long>> callback) {
      readRevision(callback);
    }

    private void answerWatch(int from, Consumer<StoreResult<StorePage>> callback) {
      if (fails()) {
        callback.accept(failure("no response"));
      } else if (from < oldestKept) {
        callback.accept(new StoreResult.Gone<>());
      } else {
        List<StoreItem> changes = new ArrayList<>();
        for (int i = from + 1; i <= revision(); i++) {
          Change change = history.get(i);
          changes.add(
              change.isRemoval() ? new StoreItem(change.key(), i, null) : itemOf(change.key(), i));
        }
        callback.accept(new StoreResult.Done<>(new StorePage(changes, false, revision())));
      }
    }

    private static StoreItem itemOf(String key, int revision) {
      return new StoreItem(key, revision, new ItemContent.ZoneEvacuated(key + '@' + revision));
    }
  }

  /** The items as the follower's listener knows them, each with its revision. */
  private static final class KnownItems implements StoreFollower.Listener {
    final Map<String, Integer> revisionByKey = new TreeMap<>();
    private final @Nullable Random failures;
    boolean isCalm;

    KnownItems(@Nullable Random failures) {
      this.failures = failures;
    }

    private void failAtTimes() {
      if (failures != null && !isCalm && failures.nextInt(10) == 0) {
        throw new NoClassDefFoundError();
      }
    }

    @Override
    public void onChanged(String key, ItemContent content) {
      failAtTimes();
      String zone = ((ItemContent.ZoneEvacuated) content).zone();
      revisionByKey.put(key, Integer.parseInt(zone.substring(zone.indexOf('@') + 1)));
    }

    @Override
    public void onRemoved(String key, ItemContent previous, int removedTargetCount) {
      failAtTimes();
      revisionByKey.remove(key);
    }

    @Override
    public void onMalformed(
        String key, long revision, @Nullable ItemContent previous, ItemContent.Malformed item) {}

    @Override
    public void onNotApplied(String key, long revision, Throwable failure) {
      if (failures == null) {
        throw new AssertionError(key, failure);
      }
    }

    @Override
    public void onInitialReadComplete() {}
  }

  @Property(tries = 2_000, seed = "20261205")
  void followerKnowsTheItemsOfTheStoreOnceItsWatchIsAnswered(@ForAll long seed) {
    follow(seed, false);
  }

  /**
   * Guards against a follower that stays behind once results are lost and changes throw no more.
   */
  @Property(tries = 2_000, seed = "20261206")
  void followerCatchesUpAfterResultsWereLostAndChangesNotApplied(@ForAll long seed) {
    follow(seed, true);
  }

  private static void follow(long seed, boolean losesResults) {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    VirtualTime time = VirtualTime.startingAt(0);
    Loop loop = Loop.on(channel.eventLoop(), time, new NoNetwork(), Runnable::run);
    ChangingStore store = new ChangingStore(new Random(seed));
    store.losesResults = losesResults;
    KnownItems known = new KnownItems(losesResults ? new Random(seed) : null);
    StoreFollower follower = StoreFollower.start(loop, store, known, EventSink.none());
    for (int i = 0; i < STEPS; i++) {
      boolean isCalm = i > STEPS / 2;
      time.advance(Duration.ofSeconds(1));
      channel.advanceTimeBy(1, TimeUnit.SECONDS);
      channel.runPendingTasks();
      known.isCalm = isCalm;
      store.step(isCalm);
    }
    assertEquals(store.itemsAt(store.revision()), known.revisionByKey);
    assertFalse(follower.isOutOfContact());
  }
}
