package org.sageladder.forward.control;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.forward.Loop;

/**
 * Follows the store through one reader VM per zone, so that the number of calls grows with zones
 * and not with VMs.
 *
 * <p>All VMs of a zone choose the same reader by rendezvous hashing over the live VMs with the
 * fastest link. The others poll it a few times a second, and each answer states the reader's
 * staleness: the time since the reader was last known to have all changes of the store. If the
 * reader does not respond, does not read the store itself or is too stale, a VM reads the store
 * directly for a while. Its revision never goes back.
 */
public final class ZoneChangeFeed {
  /**
   * Timeout of a watch. Each watch costs one call, so a long timeout keeps calls few; it also
   * bounds the staleness of a VM whose watch result was lost unnoticed.
   */
  static final long WATCH_TIMEOUT_MILLIS = 12_000;

  /**
   * Delay before the next watch after changes, so that changes in quick succession cost one call.
   * The bound of 2.5 s on applying changes allows for it.
   */
  private static final long BATCH_DELAY_MILLIS = 600;

  private static final long PEER_POLL_INTERVAL_MILLIS = 400;

  /** Within a zone a response takes a millisecond, from a busy VM some hundred. */
  private static final long PEER_TIMEOUT_MILLIS = 800;

  /** How long the store is read directly after the reader failed. */
  private static final long DIRECT_FALLBACK_MILLIS = 5_000;

  /** In smaller zones a reader saves too few calls for the delay that it adds. */
  private static final int MIN_VMS_FOR_READER = 3;

  /**
   * Maximum staleness of a reader. With the poll interval and a call to the store the total stays
   * below the shortest bound on draining targets, 2,500 ms.
   */
  static final long MAX_STALENESS_MILLIS = 1_600;

  /** Tolerance for this VM's contact with the store beyond the regular interval. */
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
  private long readerStalenessMillis;
  private long lastContactAtMillis;

  private ZoneChangeFeed(
      Loop loop,
      PlatformStore store,
      PeerChangeSource peers,
      EntryVm self,
      long contactIntervalMillis,
      EventSink log) {
    this.loop = loop;
    this.store = store;
    this.peers = peers;
    this.self = self;
    this.log = log;
    this.maxContactAgeMillis = contactIntervalMillis + CONTACT_SLACK_MILLIS;
  }

  /**
   * Creates a feed that reads the store directly until {@link #updateLiveVms} names other VMs.
   *
   * @param contactIntervalMillis regular interval of a VM's contacts with the store
   */
  public static ZoneChangeFeed of(
      Loop loop,
      PlatformStore store,
      PeerChangeSource peers,
      EntryVm self,
      long contactIntervalMillis,
      EventSink log) {
    return new ZoneChangeFeed(loop, store, peers, self, contactIntervalMillis, log);
  }

  /** Creates a feed that always reads the store directly. */
  static ZoneChangeFeed direct(Loop loop, PlatformStore store) {
    return new ZoneChangeFeed(
        loop,
        store,
        (readerVm, revision, timeoutMillis, callback) ->
            callback.accept(new StoreResult.Failed<>("no peers")),
        new EntryVm("", "", "", "", "", "", 0, true),
        0,
        EventSink.none());
  }

  /** Updates the list of live VMs and chooses the reader. */
  public void updateLiveVms(Collection<EntryVm> vms) {
    List<EntryVm> zoneVms =
        vms.stream()
            .filter(vm -> vm.zone().equals(self.zone()) && !vm.peerAddress().isEmpty())
            .toList();
    EntryVm previous = reader;
    reader = zoneVms.size() < MIN_VMS_FOR_READER ? null : chooseReader(zoneVms);
    EntryVm current = reader;
    if (current != null && !current.equals(previous)) {
      log.record(EventKind.VIEW_CHANGED, "", "", current.name(), 0, "reads the store for the zone");
    }
  }

  /** Returns the VM that reads the store for {@code zone}, of live VMs with equally fast links. */
  public static Optional<String> chooseReader(String zone, List<String> names) {
    return Rendezvous.choose("reader of " + zone, names);
  }

  /** A changed configuration is large, and the reader sends it to all other VMs of the zone. */
  private @Nullable EntryVm chooseReader(List<EntryVm> zoneVms) {
    double maxLinkMbps = zoneVms.stream().mapToDouble(EntryVm::linkMbps).max().orElse(0);
    List<String> names =
        zoneVms.stream().filter(vm -> vm.linkMbps() == maxLinkMbps).map(EntryVm::name).toList();
    String chosen = chooseReader(self.zone(), names).orElse("");
    for (EntryVm vm : zoneVms) {
      if (vm.name().equals(chosen)) {
        return vm;
      }
    }
    return null;
  }

  /** True if this VM reads the store directly, so that others may fetch changes from it. */
  public boolean isReader() {
    return !isRelayed;
  }

  /** Name of the VM that answered last, or {@code store}. */
  String source() {
    EntryVm readerVm = reader;
    return isRelayed && readerVm != null ? readerVm.name() : "store";
  }

  /** Staleness of the VM that answered last, as it stated; 0 if the store itself answered. */
  long readerStalenessMillis() {
    return isRelayed ? readerStalenessMillis : 0;
  }

  /** Time since the store last answered this VM. */
  private long contactAgeMillis() {
    return loop.nowMillis() - lastContactAtMillis;
  }

  /** Records whether the store answered another call. */
  void recordStoreCall(boolean answered) {
    if (answered) {
      lastContactAtMillis = loop.nowMillis();
    }
  }

  /** Reads the revision of the store; see {@link PlatformStore#readRevision}. */
  void readRevision(Consumer<StoreResult<Long>> callback) {
    store.readRevision(callback);
  }

  /** Reads a past revision of the store; see {@link PlatformStore#readPastRevision}. */
  void readPastRevision(Consumer<StoreResult<Long>> callback) {
    store.readPastRevision(callback);
  }

  /**
   * Requests the changes after {@code revision}; the result is empty if there were none for a
   * while.
   */
  void requestChanges(long revision, Consumer<StoreResult<StorePage>> callback) {
    EntryVm readerVm = reader;
    if (readerVm == null
        || readerVm.name().equals(self.name())
        || loop.nowMillis() < directUntilMillis) {
      watchStore(revision, callback);
      return;
    }
    isRelayed = true;
    peers.fetch(
        readerVm,
        revision,
        PEER_TIMEOUT_MILLIS,
        result -> onPeerChanges(readerVm, revision, result, callback));
  }

  private void onPeerChanges(
      EntryVm readerVm,
      long revision,
      StoreResult<PeerChangeSource.Changes> result,
      Consumer<StoreResult<StorePage>> callback) {
    if (!(result instanceof StoreResult.Done<PeerChangeSource.Changes> done)) {
      bypass(readerVm, String.valueOf(result));
      watchStore(revision, callback);
      return;
    }
    PeerChangeSource.Changes changes = done.value();
    boolean isStale = changes.stalenessMillis() > MAX_STALENESS_MILLIS;
    if (isStale) {
      bypass(readerVm, describeStaleness(changes.stalenessMillis()));
    }
    // Changes of a stale reader are valid, and large ones need not be sent again.
    boolean isUsable = changes.stalenessMillis() != StoreConfirmation.NEVER;
    if (isStale && !(isUsable && changes.hasAny())) {
      watchStore(revision, callback);
      return;
    }
    readerStalenessMillis = changes.stalenessMillis();
    hadRecentFailures = changes.hadRecentFailures();
    callback.accept(new StoreResult.Done<>(changes.page()));
  }

  /** Reads the store directly for a while. */
  private void bypass(EntryVm readerVm, String cause) {
    directUntilMillis = loop.nowMillis() + DIRECT_FALLBACK_MILLIS;
    log.record(
        EventKind.MEMBER_SILENT,
        "",
        "",
        readerVm.name(),
        0,
        "reading the store directly: " + cause);
  }

  private static String describeStaleness(long stalenessMillis) {
    return stalenessMillis == StoreConfirmation.NEVER
        ? "the store has not confirmed yet what it knows"
        : "it may have been behind the store for " + stalenessMillis + " ms";
  }

  private void watchStore(long revision, Consumer<StoreResult<StorePage>> callback) {
    isRelayed = false;
    hadRecentFailures = false;
    store.watch(
        revision,
        WATCH_TIMEOUT_MILLIS,
        result -> {
          recordStoreCall(result instanceof StoreResult.Done<StorePage>);
          callback.accept(result);
        });
  }

  /**
   * Delay until the next request for changes.
   *
   * @param anyChange true if the last result contained changes
   */
  long nextDelayMillis(boolean anyChange) {
    if (isRelayed) {
      return loop.nowMillis() < directUntilMillis ? 0 : PEER_POLL_INTERVAL_MILLIS;
    }
    return anyChange ? BATCH_DELAY_MILLIS : 0;
  }

  /**
   * True if calls of the VM that answered last have failed and the store has not answered this VM
   * recently either. If it has, only the other VM is affected, and no lease has lapsed.
   */
  boolean mayStoreHaveBeenAway() {
    return hadRecentFailures && contactAgeMillis() > maxContactAgeMillis;
  }
}
