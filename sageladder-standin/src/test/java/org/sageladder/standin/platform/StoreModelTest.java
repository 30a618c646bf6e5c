package org.sageladder.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.standin.platform.StoreModel.Watched;

/** The stand-in of the store keeps what the platform's pages say. */
class StoreModelTest {
  private long now;
  private final StoreModel store = new StoreModel(() -> now, StoreModel.PAGE);
  private final List<Watched> watched = new ArrayList<>();

  private void watch(long after) {
    store.watch("", after, 1_000, watched::add);
  }

  @Test
  void aWatchBringsWhatCameAfterItsRevision() {
    long first = store.put("a", "1", 0);
    watch(first);
    assertEquals(0, watched.size());
    store.put("b", "2", 0);
    Watched.Changes changes = assertInstanceOf(Watched.Changes.class, watched.get(0));
    assertEquals(List.of("b"), changes.page().items().stream().map(i -> i.key()).toList());
    assertEquals(store.revision(), changes.page().asOf());
  }

  @Test
  void aWatchEndsWithoutChangesWhenItsWaitIsOver() {
    watch(store.revision());
    now = 1_000;
    store.tick();
    Watched.Changes changes = assertInstanceOf(Watched.Changes.class, watched.get(0));
    assertEquals(List.of(), changes.page().items());
  }

  @Test
  void aWatchFromForgottenHistoryIsToldSo() {
    long before = store.revision();
    store.put("a", "1", 0);
    store.forgetHistory();
    watch(before);
    assertInstanceOf(Watched.Forgotten.class, watched.get(0));
  }

  @Test
  void aLeaseTakesItsItemsWithIt() {
    long lease = store.lease(3_000);
    store.put("vm", "x", lease);
    now = 2_000;
    assertTrue(store.renew(lease));
    now = 4_000;
    store.tick();
    assertEquals(List.of("vm"), store.keys(""));
    now = 5_000;
    store.tick();
    assertEquals(List.of(), store.keys(""));
    assertFalse(store.renew(lease));
  }

  @Test
  void aRemovedItemIsAChangeWithoutValue() {
    store.put("a", "1", 0);
    watch(store.revision());
    store.remove("a");
    Watched.Changes changes = assertInstanceOf(Watched.Changes.class, watched.get(0));
    assertEquals(null, changes.page().items().get(0).value());
  }
}
