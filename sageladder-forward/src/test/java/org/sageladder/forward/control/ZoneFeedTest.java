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

/** Whom a VM asks for the store's changes. */
class ZoneFeedTest {
  private static final long CONTACT_EACH = 1_300;

  /** A store that answers each watch at once. */
  private static final class AnsweringStore extends FakeStore {
    int watches;

    @Override
    public void watch(long revision, long waitMillis, Consumer<StoreAnswer<StorePage>> then) {
      watches++;
      then.accept(new StoreAnswer.Done<>(new StorePage(List.of(), false, revision)));
    }
  }

  private final Loop loop = Loop.start();
  private final AnsweringStore store = new AnsweringStore();
  private final List<String> asked = new ArrayList<>();
  private StoreAnswer<PeerChanges.Changes> peerAnswer = changes(10, false);

  private static StoreAnswer<PeerChanges.Changes> changes(long age, boolean troubled) {
    return new StoreAnswer.Done<>(
        new PeerChanges.Changes(new StorePage(List.of(), false, 7), age, troubled));
  }

  private static EntryVm vm(String name, String zone) {
    return new EntryVm(name, zone, "r", "10.0.0.1:1", "10.0.0.1:2");
  }

  private ZoneFeed feed(String self) {
    return ZoneFeed.of(
        loop,
        store,
        (from, revision, millis, then) -> {
          asked.add(from.name());
          then.accept(peerAnswer);
        },
        vm(self, "z"),
        CONTACT_EACH,
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

  private void next(ZoneFeed feed) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.run(() -> feed.next(7, answer -> done.complete(null)));
    done.get();
  }

  @AfterEach
  void end() {
    loop.close();
  }

  /** Guards against a zone in which every VM asks the store, or none does. */
  @Test
  void oneVmOfAZoneAsksTheStoreForAll() throws Exception {
    for (int i = 0; i < 10; i++) {
      ZoneFeed feed = feed("e-" + i);
      feed.live(zone(10));
      next(feed);
    }
    assertEquals(1, store.watches);
    assertEquals(1, asked.stream().distinct().count());
  }

  @Test
  void fewVmsAskTheStoreThemselves() throws Exception {
    ZoneFeed feed = feed("e-0");
    feed.live(zone(2));
    next(feed);
    assertEquals(1, store.watches);
    assertTrue(feed.isReader());
  }

  private ZoneFeed follower() {
    ZoneFeed first = feed("e-0");
    List<EntryVm> vms = zone(9);
    first.live(vms);
    // A VM that is not of the list is never its zone's reader.
    ZoneFeed feed = feed("e-none");
    feed.live(vms);
    return feed;
  }

  /** Guards against a VM that stays blind behind a reader that is silent or cut off. */
  @Test
  void readerThatFailsOrIsOutOfContactIsPassedOver() throws Exception {
    for (StoreAnswer<PeerChanges.Changes> bad :
        List.<StoreAnswer<PeerChanges.Changes>>of(
            new StoreAnswer.Failed<>("no answer"),
            new StoreAnswer.Gone<>(),
            changes(CONTACT_EACH + 501, false))) {
      ZoneFeed feed = follower();
      int before = store.watches;
      peerAnswer = bad;
      next(feed);
      assertEquals(before + 1, store.watches);
      assertTrue(feed.isReader());
      int asks = asked.size();
      next(feed);
      assertEquals(before + 2, store.watches);
      assertEquals(asks, asked.size());
    }
  }

  /** Guards against lapsed entries that followers would take for targets that left. */
  @Test
  void troubleOfTheReaderIsToldToItsFollowers() throws Exception {
    ZoneFeed feed = follower();
    next(feed);
    assertFalse(feed.hadTrouble());
    peerAnswer = changes(10, true);
    next(feed);
    assertTrue(feed.hadTrouble());
    assertFalse(feed.isReader());
  }
}
