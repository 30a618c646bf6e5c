package org.sageladder.forward.control;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.forward.Loop;

/**
 * Follows the store through one reader in each zone, so that calls grow with zones, not with VMs.
 *
 * <p>All VMs of a zone agree on the reader by rendezvous hashing over the list of live VMs. The
 * others ask it a few times a second. Where it does not answer, has had no contact with the store
 * for too long, or is no reader itself, a VM goes to the store directly for a while: it is then as
 * far behind as the reader's silence took to notice, and never farther back than it was.
 */
public final class ZoneChangeFeed {
  /**
   * A waiting watch costs one call; this long a wait makes them few, and a watch whose answer is
   * lost unseen does not leave the VM blind for longer.
   */
  private static final long WATCH_TIMEOUT_MILLIS = 12_000;

  /**
   * Pause before the next watch after changes, so that changes in quick succession cost one call.
   * Bounds of 2.5 s on changes leave room for it.
   */
  private static final long BATCH_DELAY_MILLIS = 600;

  private static final long PEER_POLL_INTERVAL_MILLIS = 400;

  /** In a zone an answer takes a millisecond; a VM that is busy takes some hundred. */
  private static final long PEER_TIMEOUT_MILLIS = 800;

  /** How long the store is followed directly after the reader failed. */
  private static final long DIRECT_FALLBACK_MILLIS = 5_000;

  /** With fewer VMs a reader saves too few calls for the delay that it adds. */
  private static final int MIN_VMS_FOR_READER = 3;

  /** What a reader's contact with the store may be late by. */
  private static final long CONTACT_SLACK_MILLIS = 500;

  private final Loop loop;
  private final PlatformStore store;
  private final PeerChangeSource peers;
  private final EntryVm self;
  private final EventSink log;
  private final long maxContactAgeMillis;
  private @Nullable EntryVm reader;
  private long directUntilMillis = Long.MIN_VALUE;
  private boolean isRelayed;
  private boolean hadRecentFailures;
  private long lastContactAtMillis;

  private ZoneChangeFeed(
      Loop loop,
      PlatformStore store,
      PeerChangeSource peers,
      EntryVm self,
      long contactEachMillis,
      EventSink log) {
    this.loop = loop;
    this.store = store;
    this.peers = peers;
    this.self = self;
    this.log = log;
    this.maxContactAgeMillis = contactEachMillis + CONTACT_SLACK_MILLIS;
  }

  /**
   * A feed that asks the store itself until {@link #updateLiveVms} names other VMs.
   *
   * @param contactEachMillis a VM has contact with the store this often while all is well
   */
  public static ZoneChangeFeed of(
      Loop loop,
      PlatformStore store,
      PeerChangeSource peers,
      EntryVm self,
      long contactEachMillis,
      EventSink log) {
    return new ZoneChangeFeed(loop, store, peers, self, contactEachMillis, log);
  }

  /** A feed that only asks the store. */
  static ZoneChangeFeed direct(Loop loop, PlatformStore store) {
    return new ZoneChangeFeed(
        loop,
        store,
        (from, revision, millis, then) -> then.accept(new StoreResult.Failed<>("no peers")),
        new EntryVm("", "", "", "", ""),
        0,
        EventSink.none());
  }

  /** Follows the list of live VMs. */
  public void updateLiveVms(Collection<EntryVm> vms) {
    List<EntryVm> ofZone =
        vms.stream()
            .filter(vm -> vm.zone().equals(self.zone()) && !vm.peerAddress().isEmpty())
            .toList();
    EntryVm before = reader;
    reader = ofZone.size() < MIN_VMS_FOR_READER ? null : chooseReader(ofZone);
    EntryVm now = reader;
    if (now != null && !now.equals(before)) {
      log.record(EventKind.VIEW_CHANGED, "", "", now.name(), 0, "reads the store for the zone");
    }
  }

  private @Nullable EntryVm chooseReader(List<EntryVm> ofZone) {
    List<String> names = ofZone.stream().map(EntryVm::name).toList();
    String chosen = Rendezvous.choose("reader of " + self.zone(), names).orElse("");
    for (EntryVm vm : ofZone) {
      if (vm.name().equals(chosen)) {
        return vm;
      }
    }
    return null;
  }

  /** True where this VM asks the store itself, so that others may ask it. */
  public boolean isReader() {
    return !isRelayed;
  }

  /** Time since the store last answered this VM. */
  public long contactAgeMillis() {
    return loop.nowMillis() - lastContactAtMillis;
  }

  /** Records whether the store answered another call. */
  void recordStoreCall(boolean answered) {
    if (answered) {
      lastContactAtMillis = loop.nowMillis();
    }
  }

  /**
   * Asks for changes after {@code revision}; answers with none where there were none for a while.
   */
  void requestChanges(long revision, Consumer<StoreResult<StorePage>> then) {
    EntryVm from = reader;
    if (from == null || from.name().equals(self.name()) || loop.nowMillis() < directUntilMillis) {
      watchStore(revision, then);
      return;
    }
    isRelayed = true;
    peers.fetch(
        from, revision, PEER_TIMEOUT_MILLIS, answer -> onPeerChanges(from, revision, answer, then));
  }

  private void onPeerChanges(
      EntryVm from,
      long revision,
      StoreResult<PeerChangeSource.Changes> answer,
      Consumer<StoreResult<StorePage>> then) {
    if (answer instanceof StoreResult.Done<PeerChangeSource.Changes> done
        && done.value().contactAgeMillis() <= maxContactAgeMillis) {
      hadRecentFailures = done.value().hadRecentFailures();
      then.accept(new StoreResult.Done<>(done.value().page()));
      return;
    }
    directUntilMillis = loop.nowMillis() + DIRECT_FALLBACK_MILLIS;
    String cause = answer instanceof StoreResult.Done<?> ? "its contact is too old" : "" + answer;
    log.record(EventKind.MEMBER_SILENT, "", "", from.name(), 0, "asking the store: " + cause);
    watchStore(revision, then);
  }

  private void watchStore(long revision, Consumer<StoreResult<StorePage>> then) {
    isRelayed = false;
    hadRecentFailures = false;
    store.watch(
        revision,
        WATCH_TIMEOUT_MILLIS,
        answer -> {
          recordStoreCall(answer instanceof StoreResult.Done<StorePage>);
          then.accept(answer);
        });
  }

  /**
   * Pause until the next question.
   *
   * @param anyChange true where the last answer had changes
   */
  long nextDelayMillis(boolean anyChange) {
    if (isRelayed) {
      return PEER_POLL_INTERVAL_MILLIS;
    }
    return anyChange ? BATCH_DELAY_MILLIS : 0;
  }

  /** True where the VM that answered last had trouble with the store lately. */
  boolean hadRecentFailures() {
    return hadRecentFailures;
  }
}
