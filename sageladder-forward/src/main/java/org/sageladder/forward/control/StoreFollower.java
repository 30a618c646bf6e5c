package org.sageladder.forward.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.FailureLog;
import org.sageladder.forward.Loop;

/**
 * Follows all items of the platform's store: reads them once, then watches for changes.
 *
 * <p>The first read may be stale, since the watch continues from its revision and delivers what is
 * missing. Pages are not a consistent snapshot, and each may be of another age: the revision of a
 * read is the lowest of its pages'. Watches may therefore deliver duplicates: a change is applied
 * only if its revision is higher than the known one of the item. If the store has discarded the
 * required history, everything is read again and missing items count as removed.
 */
public final class StoreFollower {
  /**
   * Retry delay after the first failure, and its increment: short at first, since many failures end
   * at once, and growing, since failed calls are priced.
   */
  private static final long RETRY_DELAY_STEP_MILLIS = 150;

  private static final long MAX_RETRY_DELAY_MILLIS = 800;

  /**
   * A store that answers again delivers changes within this time; without changes a watch has no
   * result for long.
   */
  private static final long MAX_CATCH_UP_MILLIS = 1_000;

  /** Longer than a call takes that does not wait for changes. */
  private static final long MAX_CALL_MILLIS = 5_000;

  private static final long STALL_CHECK_INTERVAL_MILLIS = 2_000;

  /** Interval at which a past revision of the store is compared with that of a watch that waits. */
  private static final long REVISION_CHECK_INTERVAL_MILLIS = 2_000;

  /** A route or API key that is unknown may be new unless the rules were confirmed since then. */
  private static final long MAX_UNCONFIRMED_MILLIS = 2_000;

  private static final long CONFIRMATION_INTERVAL_MILLIS = 1_000;

  /** The same while other VMs follow this one, well below the staleness that they accept. */
  private static final long RELAY_CONFIRMATION_INTERVAL_MILLIS =
      ZoneChangeFeed.MAX_STALENESS_MILLIS / 2;

  /** A watch that waits receives a change within this time, also from a slow store. */
  private static final long MAX_WATCH_LAG_MILLIS = 1_000;

  /** Pause of the checks after one that asked for a read although there was nothing new. */
  private static final long REVISION_CHECK_PAUSE_MILLIS = 60_000;

  /** Delays before an item that could not be applied is applied again; they double. */
  private static final long MIN_APPLY_DELAY_MILLIS = 500;

  private static final long MAX_APPLY_DELAY_MILLIS = 30_000;

  /** Receives the changes of items. */
  public interface Listener {
    /** An item is new or has changed. */
    void onChanged(String key, ItemContent content);

    /**
     * An item was removed.
     *
     * @param previous its last content
     * @param removedTargetCount number of targets removed in the same response
     */
    void onRemoved(String key, ItemContent previous, int removedTargetCount);

    /**
     * An item was overwritten by a malformed one.
     *
     * @param revision the store's revision of the malformed item
     * @param previous its last valid content, or null if there was none
     */
    void onMalformed(
        String key, long revision, @Nullable ItemContent previous, ItemContent.Malformed item);

    /**
     * A method above has thrown {@code failure} for a change; the item's earlier content may still
     * be in use. The method is called again later.
     */
    void onNotApplied(String key, long revision, Throwable failure);

    /** The first read of all items is complete. */
    void onInitialReadComplete();
  }

  private record KnownItem(long revision, @Nullable ItemContent content) {}

  private final Loop loop;
  private final PlatformStore store;
  private final ZoneChangeFeed changeFeed;
  private final Listener listener;
  private final EventSink log;
  private final StoreOutageDetector outages;
  private final StoreConfirmation confirmation;
  private final Map<String, KnownItem> knownItems = new HashMap<>();
  private final Map<String, StoreItem> unappliedItems = new LinkedHashMap<>();
  private final FullRead fullRead = new FullRead();
  private boolean isApplyAgainScheduled;
  private long applyAgainDelayMillis = MIN_APPLY_DELAY_MILLIS;
  private long revision = -1;
  private boolean isInitialReadComplete;
  private int consecutiveFailures;
  private boolean isWatching;

  /** The call or delay that is under way; the end of an earlier one is ignored. */
  private long currentStep;

  private long stepStartedAtMillis;
  private long stepOverdueAtMillis;
  private long nextRevisionCheckMillis;
  private long lastAnswerAtMillis;
  private long lastChangeAtMillis;
  private int timesBehind;
  private boolean isStoreSilent;
  private boolean isReadingAgain;
  private boolean isRevisionInDoubt;

  /** True after a watch that did not deliver what the store had, until one is answered. */
  private boolean areWatchesInDoubt;

  private long catchingUpUntilMillis;
  private ChangeOrigin changeOrigin = ChangeOrigin.none();

  private StoreFollower(
      Loop loop, PlatformStore store, ZoneChangeFeed changeFeed, Listener listener, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.changeFeed = changeFeed;
    this.listener = listener;
    this.log = log;
    this.outages = new StoreOutageDetector(loop);
    this.confirmation = new StoreConfirmation(loop);
  }

  /** Starts to follow the store directly. */
  public static StoreFollower start(
      Loop loop, PlatformStore store, Listener listener, EventSink log) {
    return start(loop, store, ZoneChangeFeed.direct(loop, store), listener, log);
  }

  /**
   * Starts to follow: changes come from {@code changeFeed}, reads of all items from {@code store}.
   */
  public static StoreFollower start(
      Loop loop, PlatformStore store, ZoneChangeFeed changeFeed, Listener listener, EventSink log) {
    StoreFollower follower = new StoreFollower(loop, store, changeFeed, listener, log);
    loop.execute(
        () -> {
          loop.scheduleAtFixedRate(STALL_CHECK_INTERVAL_MILLIS, follower::restartIfStalled);
          follower.read(null, true);
        });
    return follower;
  }

  /**
   * How far this VM follows the store.
   *
   * @param revision revision up to which the changes are known
   * @param answerAgeMillis time since the store or another VM last answered
   * @param changeAgeMillis time since the last change was received
   * @param confirmationAgeMillis time since this VM was last known to have all changes; -1 if it
   *     never was
   * @param timesBehind how often the store had changes that a watch did not deliver
   * @param unappliedItems number of items that could not be applied yet
   */
  public record Progress(
      long revision,
      long answerAgeMillis,
      long changeAgeMillis,
      long confirmationAgeMillis,
      int timesBehind,
      int unappliedItems) {
    /** Nothing has been read yet. */
    static Progress none() {
      return new Progress(-1, 0, 0, -1, 0, 0);
    }
  }

  /**
   * Where the changes that were applied last came from.
   *
   * @param source name of the VM that relayed them, or {@code store}
   * @param maxDelayMillis upper bound on the time for which the store has had them, since this VM
   *     was last known to have all changes; {@link StoreConfirmation#NEVER} if it never was
   */
  public record ChangeOrigin(String source, long maxDelayMillis) {
    /** Nothing has been applied yet. */
    static ChangeOrigin none() {
      return new ChangeOrigin("store", StoreConfirmation.NEVER);
    }
  }

  /** Where the changes that are being applied came from, or those that were applied last. */
  public ChangeOrigin changeOrigin() {
    return changeOrigin;
  }

  /** How far this VM follows the store now. */
  public Progress progress() {
    long now = loop.nowMillis();
    return new Progress(
        revision,
        now - lastAnswerAtMillis,
        now - lastChangeAtMillis,
        confirmation.ageMillis() == StoreConfirmation.NEVER ? -1 : confirmation.ageMillis(),
        timesBehind,
        unappliedItems.size());
  }

  /**
   * True while the store does not serve this VM, and for {@code millis} after that, so that leases
   * may have lapsed. A single call without an answer is no such failure, nor is an answer that says
   * that history was discarded or that cannot be read.
   */
  public boolean hadFailureWithin(long millis) {
    return outages.wasOutageWithin(millis);
  }

  /**
   * True while calls to the store fail or are not answered, and then until the changes from that
   * time have arrived, so that what is known may be out of date.
   */
  public boolean isOutOfContact() {
    return consecutiveFailures > 0
        || isStoreSilent
        || isReadingAgain
        || !unappliedItems.isEmpty()
        || loop.nowMillis() < catchingUpUntilMillis;
  }

  /**
   * True if changes may be unknown that the store has had for longer than {@link
   * #MAX_UNCONFIRMED_MILLIS}. If nothing has shown the contrary recently, the store is asked, so
   * that the answer is another one soon.
   */
  public boolean mayHaveStaleRules() {
    if (isOutOfContact()) {
      return true;
    }
    if (confirmation.ageMillis() <= MAX_UNCONFIRMED_MILLIS) {
      return false;
    }
    confirmAtIntervals(CONFIRMATION_INTERVAL_MILLIS);
    return true;
  }

  /**
   * Time since this VM was last known to have all changes of the store, or {@link
   * StoreConfirmation#NEVER}. VMs that follow this one ask for it; meanwhile the store's revision
   * is read often enough to keep it short.
   */
  public long stalenessMillis() {
    long stalenessMillis = confirmation.ageMillis();
    if (stalenessMillis >= RELAY_CONFIRMATION_INTERVAL_MILLIS) {
      confirmAtIntervals(RELAY_CONFIRMATION_INTERVAL_MILLIS);
    }
    return stalenessMillis;
  }

  private void confirmAtIntervals(long intervalMillis) {
    if (confirmation.mayAskAgain(intervalMillis)) {
      confirm(currentStep);
    }
  }

  private void read(@Nullable String afterKey, boolean mayBeStale) {
    if (afterKey == null) {
      fullRead.begin(loop.nowMillis());
    }
    Runnable retry = retryRead(mayBeStale);
    store.read(
        afterKey,
        mayBeStale,
        startStep(
            "read",
            result -> {
              if (result instanceof StoreResult.Done<StorePage> done) {
                onSuccess();
                readPage(done.value(), mayBeStale);
                return;
              }
              onFailure("read", String.valueOf(result), retry);
            },
            retry,
            MAX_CALL_MILLIS));
  }

  private Runnable retryRead(boolean mayBeStale) {
    return () -> read(null, mayBeStale && !isInitialReadComplete);
  }

  /**
   * Starts a call and returns the callback for its result. Following goes on from callbacks only,
   * so that {@code retry} runs if the handler throws.
   */
  private Consumer<StoreResult<StorePage>> startStep(
      String call, Consumer<StoreResult<StorePage>> handler, Runnable retry, long maxMillis) {
    long step = startStep(maxMillis);
    return result -> {
      if (step != currentStep) {
        return;
      }
      runStep(call, () -> handler.accept(result), retry);
    };
  }

  private void runStep(String call, Runnable step, Runnable retry) {
    try {
      step.run();
    } catch (RuntimeException | LinkageError | VirtualMachineError e) {
      loop.reportFailure(e);
      onFailure(call, "threw " + FailureLog.describe(e), retry);
    }
  }

  private long startStep(long maxMillis) {
    currentStep++;
    stepStartedAtMillis = loop.nowMillis();
    stepOverdueAtMillis = stepStartedAtMillis + maxMillis;
    return currentStep;
  }

  private void scheduleStep(String call, long delayMillis, Runnable task) {
    long step = startStep(delayMillis + MAX_CALL_MILLIS);
    var unused =
        loop.schedule(
            delayMillis,
            () -> {
              if (step == currentStep) {
                runStep(call, task, task);
              }
            });
  }

  /** Goes on with following if neither a call nor a delay is under way. */
  private void restartIfStalled() {
    if (loop.nowMillis() < stepOverdueAtMillis) {
      return;
    }
    long idleMillis = loop.nowMillis() - stepStartedAtMillis;
    log.record(
        EventKind.STORE_DOWN,
        "",
        "",
        "store",
        revision,
        "not followed for " + idleMillis + " ms; starting again");
    outages.recordPastOutage();
    if (isInitialReadComplete && !isReadingAgain) {
      watch();
    } else {
      read(null, !isInitialReadComplete);
    }
  }

  private void readPage(StorePage page, boolean mayBeStale) {
    recordOrigin("store");
    fullRead.add(page);
    apply(page.items());
    if (page.hasMore()) {
      if (page.items().isEmpty()) {
        // Without a last key the rest cannot be read, and would count as removed.
        onFailure("read", "an empty page before the last one", retryRead(mayBeStale));
        return;
      }
      read(page.items().get(page.items().size() - 1).key(), mayBeStale);
      return;
    }
    removeMissing();
    String summary = fullRead.complete(loop.nowMillis());
    log.record(EventKind.STORE_UP, "", "", "store", fullRead.revision(), summary);
    isReadingAgain = false;
    lastAnswerAtMillis = loop.nowMillis();
    if (!mayBeStale) {
      confirmation.confirm(fullRead.startedAtMillis());
    }
    if (isRevisionInDoubt && lastChangeAtMillis < fullRead.startedAtMillis()) {
      nextRevisionCheckMillis = loop.nowMillis() + REVISION_CHECK_PAUSE_MILLIS;
    }
    isRevisionInDoubt = false;
    revision = fullRead.revision();
    if (!isInitialReadComplete) {
      isInitialReadComplete = true;
      // The read may be stale; changes since then arrive with the first answer of the watch.
      catchingUpUntilMillis = loop.nowMillis() + MAX_CATCH_UP_MILLIS;
      listener.onInitialReadComplete();
    }
    watch();
  }

  /** Removes items that a complete read did not return, unless they are newer than the read. */
  private void removeMissing() {
    List<StoreItem> missing = new ArrayList<>();
    knownItems.forEach(
        (key, item) -> {
          if (item.content() != null && fullRead.isMissing(key, item.revision())) {
            missing.add(new StoreItem(key, fullRead.revision(), null));
          }
        });
    unappliedItems.values().removeIf(item -> fullRead.isMissing(item.key(), item.revision()));
    apply(missing);
  }

  /**
   * Handles the outcome of another call to the store.
   *
   * <p>A store that was silent may never answer a watch from that time, even after it has
   * recovered, and the VM would miss all changes until the watch times out. Therefore the first
   * answer after a silence starts a new watch, and the result of the old one is ignored.
   */
  public void onStoreCall(boolean answered) {
    changeFeed.recordStoreCall(answered);
    if (!answered) {
      isStoreSilent = true;
      outages.recordUnansweredCall();
      return;
    }
    outages.recordAnswer();
    if (isStoreSilent) {
      catchingUpUntilMillis = loop.nowMillis() + MAX_CATCH_UP_MILLIS;
    }
    if (isStoreSilent && isWatching) {
      log.record(
          EventKind.STORE_UP, "", "", "store", revision, "answers again; starting a new watch");
      watch();
    }
    isStoreSilent = false;
  }

  /** Waits for changes. */
  private void watch() {
    isWatching = true;
    Consumer<StoreResult<StorePage>> callback =
        startStep(
            "watch",
            result -> {
              isWatching = false;
              onWatchResult(result);
            },
            this::watch,
            ZoneChangeFeed.WATCH_TIMEOUT_MILLIS + MAX_CALL_MILLIS);
    boolean isAfterTrouble = areWatchesInDoubt || consecutiveFailures > 0 || !changeFeed.isReader();
    scheduleRevisionCheck(currentStep, isAfterTrouble);
    changeFeed.requestChanges(revision, callback);
  }

  /**
   * Compares the store's revision with the known one while a watch waits.
   *
   * <p>A watch that will never be answered, as on a connection that has become silent, looks like
   * one for which there is no change. After such a watch the next ones are checked more often, and
   * one that follows a failed call or replaces a reader is checked once by the current revision.
   */
  private void checkRevision(long step, boolean isAfterTrouble) {
    if (step != currentStep || !changeFeed.isReader()) {
      return;
    }
    if (loop.nowMillis() >= nextRevisionCheckMillis) {
      if (isAfterTrouble) {
        confirm(step);
      } else {
        changeFeed.readPastRevision(result -> doubtIfNewer(step, result));
      }
    }
    scheduleRevisionCheck(step, areWatchesInDoubt);
  }

  private void scheduleRevisionCheck(long step, boolean isAfterTrouble) {
    long delayMillis =
        isAfterTrouble ? CONFIRMATION_INTERVAL_MILLIS : REVISION_CHECK_INTERVAL_MILLIS;
    var unused = loop.schedule(delayMillis, () -> checkRevision(step, isAfterTrouble));
  }

  /** Asks for the store's revision, which confirms that of the watch or calls it into doubt. */
  private void confirm(long step) {
    long startedAtMillis = loop.nowMillis();
    confirmation.recordAsked();
    changeFeed.readRevision(
        result -> {
          if (result instanceof StoreResult.Done<Long> done && done.value() <= revision) {
            confirmation.confirm(startedAtMillis);
          }
          doubtIfNewer(step, result);
        });
  }

  /** Gives a watch the usual time to deliver what the store has, then reads everything. */
  private void doubtIfNewer(long step, StoreResult<Long> result) {
    if (result instanceof StoreResult.Done<Long> done && done.value() > revision) {
      long storeRevision = done.value();
      var unused = loop.schedule(MAX_WATCH_LAG_MILLIS, () -> onStillWaiting(step, storeRevision));
    }
  }

  /** Reads everything if a watch still waits although the store has changes for it. */
  private void onStillWaiting(long step, long storeRevision) {
    if (step != currentStep || !isWatching) {
      return;
    }
    timesBehind++;
    log.record(
        EventKind.STORE_DOWN,
        "",
        "",
        "store",
        revision,
        "behind revision " + storeRevision + " of the store; reading all items");
    isWatching = false;
    isRevisionInDoubt = true;
    areWatchesInDoubt = true;
    readAgain();
  }

  /** Must be called before what the answer confirms is recorded. */
  private void recordOrigin(String source) {
    changeOrigin = new ChangeOrigin(source, confirmation.ageMillis());
  }

  private void onWatchResult(StoreResult<StorePage> result) {
    if (result instanceof StoreResult.Done<StorePage> done) {
      onSuccess();
      areWatchesInDoubt = false;
      recordOrigin(changeFeed.source());
      catchingUpUntilMillis = 0;
      lastAnswerAtMillis = loop.nowMillis();
      confirmation.confirm(stepStartedAtMillis - changeFeed.readerStalenessMillis());
      if (changeFeed.mayStoreHaveBeenAway()) {
        outages.recordPastOutage();
      }
      StorePage page = done.value();
      apply(page.items());
      revision = Math.max(revision, page.asOfRevision());
      scheduleWatch(changeFeed.nextDelayMillis(!page.items().isEmpty()));
      return;
    }
    if (result instanceof StoreResult.Gone<StorePage>) {
      log.record(
          EventKind.STORE_DOWN,
          "",
          "",
          "history",
          revision,
          "discarded by the store; reading all items");
      readAgain();
      return;
    }
    if (result instanceof StoreResult.Failed<StorePage> failed && failed.isUnreadable()) {
      // A watch from the same revision has the same response; pages of a read are shorter.
      retryAfterFailure("watch", failed.cause(), this::readAgain);
      return;
    }
    // The store may cut off a watch that waits; the next call tells whether it serves this VM.
    outages.recordFailures(consecutiveFailures + 1);
    retryAfterFailure("watch", String.valueOf(result), this::watch);
  }

  /** Reads all items, since what is known cannot be brought up to date by watching. */
  private void readAgain() {
    isReadingAgain = true;
    read(null, false);
  }

  private void scheduleWatch(long delayMillis) {
    if (delayMillis == 0) {
      watch();
      return;
    }
    scheduleStep("watch", delayMillis, this::watch);
  }

  private void onSuccess() {
    if (consecutiveFailures > 0) {
      log.record(
          EventKind.STORE_UP,
          "",
          "",
          "store",
          revision,
          "after " + consecutiveFailures + " consecutive failures");
    }
    if (changeFeed.isReader()) {
      outages.recordAnswer();
    }
    consecutiveFailures = 0;
  }

  private void onFailure(String call, String cause, Runnable retry) {
    outages.recordOutage();
    retryAfterFailure(call, cause, retry);
  }

  private void retryAfterFailure(String call, String cause, Runnable retry) {
    consecutiveFailures++;
    if (consecutiveFailures == 1) {
      log.record(EventKind.STORE_DOWN, "", "", "store", revision, call + ": " + cause);
    }
    long delayMillis =
        Math.min(MAX_RETRY_DELAY_MILLIS, RETRY_DELAY_STEP_MILLIS * consecutiveFailures);
    scheduleStep(call, delayMillis, retry);
  }

  private boolean isTargetRemoval(StoreItem item) {
    KnownItem previous = knownItems.get(item.key());
    return item.content() == null
        && previous != null
        && previous.content() instanceof ItemContent.Target;
  }

  private void apply(Collection<StoreItem> items) {
    int removedTargetCount = (int) items.stream().filter(this::isTargetRemoval).count();
    for (StoreItem item : items) {
      KnownItem previous = knownItems.get(item.key());
      if (previous != null && previous.revision() >= item.revision()) {
        unappliedItems.remove(item.key(), item);
        continue;
      }
      // What one item brings about must not hide the items behind it.
      try {
        lastChangeAtMillis = loop.nowMillis();
        apply(item, previous, removedTargetCount);
        unappliedItems.remove(item.key());
      } catch (RuntimeException | LinkageError | VirtualMachineError e) {
        onNotApplied(item, previous, e);
      }
    }
  }

  private void apply(StoreItem item, @Nullable KnownItem previous, int removedTargetCount) {
    ItemContent content = item.content();
    if (content instanceof ItemContent.Malformed malformed) {
      ItemContent last = previous == null ? null : previous.content();
      knownItems.put(item.key(), new KnownItem(item.revision(), last));
      listener.onMalformed(item.key(), item.revision(), last, malformed);
      return;
    }
    knownItems.put(item.key(), new KnownItem(item.revision(), content));
    if (content != null) {
      listener.onChanged(item.key(), content);
    } else if (previous != null && previous.content() != null) {
      listener.onRemoved(item.key(), previous.content(), removedTargetCount);
    }
  }

  /** Keeps an item that could not be applied, and applies it again after a delay. */
  private void onNotApplied(StoreItem item, @Nullable KnownItem previous, Throwable failure) {
    if (previous == null) {
      knownItems.remove(item.key());
    } else {
      knownItems.put(item.key(), previous);
    }
    unappliedItems.put(item.key(), item);
    loop.runGuarded(() -> listener.onNotApplied(item.key(), item.revision(), failure));
    scheduleApplyAgain();
  }

  private void scheduleApplyAgain() {
    if (isApplyAgainScheduled) {
      return;
    }
    isApplyAgainScheduled = true;
    var unused = loop.schedule(applyAgainDelayMillis, this::applyAgain);
    applyAgainDelayMillis = Math.min(MAX_APPLY_DELAY_MILLIS, 2 * applyAgainDelayMillis);
  }

  private void applyAgain() {
    isApplyAgainScheduled = false;
    int waiting = unappliedItems.size();
    apply(List.copyOf(unappliedItems.values()));
    if (unappliedItems.size() < waiting) {
      applyAgainDelayMillis = MIN_APPLY_DELAY_MILLIS;
    }
  }
}
