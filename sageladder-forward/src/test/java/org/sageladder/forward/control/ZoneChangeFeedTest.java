package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.Loop;

/** Selection of the VM that reads the changes of the store for a zone. */
class ZoneChangeFeedTest {
  private static final long CONTACT_INTERVAL_MILLIS = 1_300;

  /** A store that answers each watch at once. */
  private static final class AnsweringStore extends FakeStore {
    int watches;

    @Override
    public void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> callback) {
      watches++;
      callback.accept(new StoreResult.Done<>(new StorePage(List.of(), false, revision)));
    }
  }

  private final Loop loop = Loop.start();
  private final AnsweringStore store = new AnsweringStore();
  private final List<String> askedPeers = new ArrayList<>();
  private StoreResult<PeerChangeSource.Changes> peerResult = changes(10, false);

  private static StoreResult<PeerChangeSource.Changes> changes(
      long stalenessMillis, boolean hadRecentFailures) {
    return new StoreResult.Done<>(
        new PeerChangeSource.Changes(
            new StorePage(List.of(), false, 7), stalenessMillis, hadRecentFailures));
  }

  private static EntryVm vm(String name, String zone) {
    return new EntryVm(name, zone, "r", "10.0.0.1:1", "10.0.0.1:2", "", 0, true);
  }

  private static EntryVm vmWithLink(String name, double linkMbps) {
    return new EntryVm(name, "z", "r", "10.0.0.1:1", "10.0.0.1:2", "", linkMbps, true);
  }

  private ZoneChangeFeed feed(String self) {
    return ZoneChangeFeed.of(
        loop,
        store,
        (from, revision, millis, callback) -> {
          askedPeers.add(from.name());
          callback.accept(peerResult);
        },
        vm(self, "z"),
        CONTACT_INTERVAL_MILLIS,
        EventSink.none());
  }

  private static List<EntryVm> zone(int count) {
    List<EntryVm> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add(vm("e-" + i, "z"));
    }
    vms.add(vm("other", "elsewhere"));
    return vms;
  }

  private void awaitChanges(ZoneChangeFeed feed) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(() -> feed.requestChanges(7, result -> done.complete(null)));
    done.get();
  }

  @AfterEach
  void closeLoop() {
    loop.close();
  }

  /** Guards against a zone in which every VM reads the store, or none does. */
  @Test
  void oneVmPerZoneReadsTheStore() throws Exception {
    for (int i = 0; i < 10; i++) {
      ZoneChangeFeed feed = feed("e-" + i);
      feed.updateLiveVms(zone(10));
      awaitChanges(feed);
    }
    assertEquals(1, store.watches);
    assertEquals(1, askedPeers.stream().distinct().count());
  }

  @Test
  void vmsOfASmallZoneReadTheStoreDirectly() throws Exception {
    ZoneChangeFeed feed = feed("e-0");
    feed.updateLiveVms(zone(2));
    awaitChanges(feed);
    assertEquals(1, store.watches);
    assertTrue(feed.isReader());
  }

  private ZoneChangeFeed followingFeed() {
    ZoneChangeFeed firstFeed = feed("e-0");
    List<EntryVm> vms = zone(9);
    firstFeed.updateLiveVms(vms);
    // A VM that is not in the list is never the reader of its zone.
    ZoneChangeFeed feed = feed("e-none");
    feed.updateLiveVms(vms);
    return feed;
  }

  /** Guards against a VM that misses changes because its reader is silent or out of contact. */
  @Test
  void failingOrStaleReaderIsBypassed() throws Exception {
    for (StoreResult<PeerChangeSource.Changes> badResult :
        List.<StoreResult<PeerChangeSource.Changes>>of(
            new StoreResult.Failed<>("no answer"),
            new StoreResult.Gone<>(),
            changes(ZoneChangeFeed.MAX_STALENESS_MILLIS + 1, false),
            changes(CONTACT_INTERVAL_MILLIS + 501, false))) {
      ZoneChangeFeed feed = followingFeed();
      int watchesBefore = store.watches;
      peerResult = badResult;
      awaitChanges(feed);
      assertEquals(watchesBefore + 1, store.watches);
      assertTrue(feed.isReader());
      int askedBefore = askedPeers.size();
      awaitChanges(feed);
      assertEquals(watchesBefore + 2, store.watches);
      assertEquals(askedBefore, askedPeers.size());
    }
  }

  /** Guards against a configuration that a reader with a slow link cannot pass on in time. */
  @Test
  void readerIsAVmWithTheFastestLink() throws Exception {
    for (int fastest = 0; fastest < 3; fastest++) {
      List<EntryVm> vms = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        vms.add(vmWithLink("e-" + i, i == fastest ? 200 : 10));
      }
      askedPeers.clear();
      ZoneChangeFeed feed = feed("e-" + (fastest + 1) % 3);
      feed.updateLiveVms(vms);
      awaitChanges(feed);
      assertEquals(List.of("e-" + fastest), askedPeers);
    }
  }

  /** Guards against a large change that is sent again since its transfer made the reader stale. */
  @Test
  void changesOfAStaleReaderAreUsedBeforeTheStoreIsRead() throws Exception {
    ZoneChangeFeed feed = followingFeed();
    StoreItem change = new StoreItem("z-1", 8, new ItemContent.ZoneEvacuated("z-1"));
    StorePage page = new StorePage(List.of(change), false, 8);
    peerResult = new StoreResult.Done<>(new PeerChangeSource.Changes(page, 10_000, false));
    int watchesBefore = store.watches;
    awaitChanges(feed);
    assertEquals(watchesBefore, store.watches);
    assertEquals(10_000, feed.readerStalenessMillis());
    assertEquals(0, feed.nextDelayMillis(true));
    awaitChanges(feed);
    assertEquals(watchesBefore + 1, store.watches);
  }

  /** Guards against rules that count as confirmed since a reader answers that may be behind. */
  @Test
  void followersTakeOverTheStalenessOfTheirReader() throws Exception {
    ZoneChangeFeed feed = followingFeed();
    peerResult = changes(1_500, false);
    awaitChanges(feed);
    assertEquals(1_500, feed.readerStalenessMillis());
    peerResult = new StoreResult.Failed<>("no answer");
    awaitChanges(feed);
    assertEquals(0, feed.readerStalenessMillis());
  }

  /**
   * Guards against lapsed entries that followers of the reader would treat as removed targets, and
   * against removals that they hold as lapsed while only their reader has trouble.
   */
  @Test
  void readersFailuresCountAtFollowersThatTheStoreDoesNotServe() throws Exception {
    ZoneChangeFeed feed = followingFeed();
    awaitChanges(feed);
    assertFalse(feed.mayStoreHaveBeenAway());
    peerResult = changes(10, true);
    awaitChanges(feed);
    assertTrue(feed.mayStoreHaveBeenAway());
    feed.recordStoreCall(false);
    assertTrue(feed.mayStoreHaveBeenAway());
    feed.recordStoreCall(true);
    assertFalse(feed.mayStoreHaveBeenAway());
    assertFalse(feed.isReader());
  }
}
