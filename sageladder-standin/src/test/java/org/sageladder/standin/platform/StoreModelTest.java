package org.sageladder.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.standin.platform.StoreModel.WatchResult;

/** The store model behaves as the platform's documentation describes. */
class StoreModelTest {
  private long now;
  private final StoreModel store = new StoreModel(() -> now, StoreModel.MAX_PAGE_ITEMS);
  private final List<WatchResult> results = new ArrayList<>();

  private void watch(long after) {
    store.watch("", after, 1_000, results::add);
  }

  @Test
  void watchReturnsChangesAfterItsRevision() {
    long first = store.put("a", "1", 0);
    watch(first);
    assertEquals(0, results.size());
    store.put("b", "2", 0);
    WatchResult.Changes changes = assertInstanceOf(WatchResult.Changes.class, results.get(0));
    assertEquals(List.of("b"), changes.page().items().stream().map(i -> i.key()).toList());
    assertEquals(store.revision(), changes.page().asOfRevision());
  }

  @Test
  void watchWithoutChangesEndsEmptyAfterItsWait() {
    watch(store.revision());
    now = 1_000;
    store.expireDue();
    WatchResult.Changes changes = assertInstanceOf(WatchResult.Changes.class, results.get(0));
    assertEquals(List.of(), changes.page().items());
  }

  @Test
  void watchFromCompactedHistoryFails() {
    long before = store.revision();
    store.put("a", "1", 0);
    store.compactHistory();
    watch(before);
    assertInstanceOf(WatchResult.Compacted.class, results.get(0));
  }

  @Test
  void expiredLeaseRemovesItsItems() {
    long lease = store.grantLease(3_000);
    store.put("vm", "x", lease);
    now = 2_000;
    assertTrue(store.renewLease(lease));
    now = 4_000;
    store.expireDue();
    assertEquals(List.of("vm"), store.keys(""));
    now = 5_000;
    store.expireDue();
    assertEquals(List.of(), store.keys(""));
    assertFalse(store.renewLease(lease));
  }

  @Test
  void removedItemIsAChangeWithoutValue() {
    store.put("a", "1", 0);
    watch(store.revision());
    store.remove("a");
    WatchResult.Changes changes = assertInstanceOf(WatchResult.Changes.class, results.get(0));
    assertEquals(null, changes.page().items().get(0).value());
  }
}
