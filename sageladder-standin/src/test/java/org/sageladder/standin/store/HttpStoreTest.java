package org.sageladder.standin.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.platform.store.HttpVmList;

/** The HTTP adapter against the stand-in. */
class HttpStoreTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private StoreServer server;
  private HttpStore store;

  @BeforeEach
  void start() throws IOException {
    server = StoreServer.start("127.0.0.1", 0, time);
    store = HttpStore.connect(server.address(), TIMEOUT);
  }

  @AfterEach
  void stop() {
    store.close();
    server.close();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private long write(String key, long expected, String value) throws StoreException {
    WriteResult result = store.compareAndSet(key, expected, bytes(value), null);
    return assertInstanceOf(WriteResult.Written.class, result).revision();
  }

  @Test
  void writtenValueIsReadBack() throws StoreException {
    long revision = write("contracts/a b&c", 0, "täht");
    StoredValue value = store.read("contracts/a b&c").orElseThrow();
    assertEquals(revision, value.revision());
    assertArrayEquals(bytes("täht"), value.value());
    assertTrue(store.read("contracts/other").isEmpty());
  }

  @Test
  void failedCompareReturnsTheCurrentValue() throws StoreException {
    long first = write("k", 0, "one");
    long second = write("k", first, "two");
    WriteResult result = store.compareAndSet("k", first, bytes("three"), null);
    StoredValue current = assertInstanceOf(WriteResult.Conflict.class, result).current();
    assertEquals(second, current.revision());
    assertArrayEquals(bytes("two"), current.value());
  }

  @Test
  void listReturnsOnlyThePrefixInKeyOrder() throws StoreException {
    write("b/2", 0, "x");
    write("b/1", 0, "x");
    write("c", 0, "x");
    write("a", 0, "x");
    assertEquals(List.of("b/1", "b/2"), store.list("b/").stream().map(StoredValue::key).toList());
  }

  @Test
  void expiredLeaseDeletesItsKeys() throws StoreException {
    long lease = store.grantLease(Duration.ofSeconds(3));
    store.compareAndSet("relays/x", 0, bytes("me"), lease);
    time.advance(Duration.ofSeconds(2));
    assertTrue(store.keepAlive(lease));
    time.advance(Duration.ofSeconds(2));
    assertTrue(store.read("relays/x").isPresent());
    time.advance(Duration.ofSeconds(2));
    assertTrue(store.read("relays/x").isEmpty());
    assertFalse(store.keepAlive(lease));
  }

  @Test
  void revokedLeaseDeletesItsKeysAtOnce() throws StoreException {
    long lease = store.grantLease(Duration.ofSeconds(3));
    store.compareAndSet("relays/x", 0, bytes("me"), lease);
    store.revokeLease(lease);
    assertTrue(store.read("relays/x").isEmpty());
  }

  @Test
  void pendingWatchReturnsALaterWrite() throws Exception {
    long first = write("w/1", 0, "x");
    CompletableFuture<WatchBatch> watch =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return store.watch("w/", first, Duration.ofMinutes(1));
              } catch (StoreException e) {
                throw new CompletionException(e);
              }
            });
    while (server.counts().getOrDefault("watch", 0L) == 0) {
      Thread.onSpinWait();
    }
    write("other", 0, "x");
    long second = write("w/2", 0, "y");
    WatchBatch batch = watch.get();
    assertEquals(List.of("w/2"), batch.changed().stream().map(StoredValue::key).toList());
    assertEquals(second, batch.nextRevision());
    assertEquals(1, server.counts().get("watch"));
  }

  // A relay's watch waits for tens of seconds, its other calls for at most two. If the timeout of
  // the other calls applied to the watch, each watch would end as an outage and changes would be
  // delayed until the next watch.
  @Test
  void watchMayWaitLongerThanTheTimeoutOfOtherCalls() throws Exception {
    long first = write("w/1", 0, "x");
    Duration shortTimeout = Duration.ofSeconds(1);
    try (HttpStore impatient = HttpStore.connect(server.address(), shortTimeout)) {
      impatient.read("w/1");
      CompletableFuture<WatchBatch> watch =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return impatient.watch("w/", first, Duration.ofMinutes(1));
                } catch (StoreException e) {
                  throw new CompletionException(e);
                }
              });
      Thread.sleep(3 * shortTimeout.toMillis());
      write("w/2", 0, "y");
      assertEquals(1, watch.get().changed().size());
    }
  }

  @Test
  void watchFromRevisionZeroReturnsLatestValuesAndDeletes() throws StoreException {
    long first = write("w/1", 0, "x");
    write("w/1", first, "y");
    long revision = write("w/2", 0, "x");
    store.compareAndDelete("w/2", revision);
    WatchBatch batch = store.watch("w/", 0, Duration.ZERO);
    assertEquals(1, batch.changed().size());
    assertArrayEquals(bytes("y"), batch.changed().get(0).value());
    assertEquals(List.of("w/2"), batch.deleted());
    assertTrue(store.watch("w/", batch.nextRevision(), Duration.ZERO).changed().isEmpty());
  }

  @Test
  void valueOfOneMebibyteIsStoredAndALargerOneRefused() throws StoreException {
    byte[] largest = new byte[StoreState.MAX_VALUE_BYTES];
    store.compareAndSet("large", 0, largest, null);
    assertEquals(largest.length, store.read("large").orElseThrow().value().length);
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class,
            () -> store.compareAndSet("larger", 0, new byte[largest.length + 1], null));
    assertTrue(refused.getMessage().contains("expected at most 1048576"), refused.getMessage());
  }

  // An operator's write takes effect, but the connection is closed before the answer. If the
  // adapter reported that it had not been executed, the operator would repeat it and get a conflict
  // with their own write; so the adapter must report an unknown outcome.
  @Test
  void lostAnswerHasUnknownOutcomeAndTookEffect() throws StoreException {
    server.setFaults(StoreFaults.none().withLoseAnswers(1));
    assertThrows(
        StoreException.OutcomeUnknown.class, () -> store.compareAndSet("k", 0, bytes("x"), null));
    assertTrue(store.read("k").isPresent());
    write("next", 0, "x");
  }

  @Test
  void lostRequestHasUnknownOutcomeAndNoEffect() throws StoreException {
    server.setFaults(StoreFaults.none().withLoseRequests(1));
    assertThrows(
        StoreException.OutcomeUnknown.class, () -> store.compareAndSet("k", 0, bytes("x"), null));
    assertTrue(store.read("k").isEmpty());
  }

  @Test
  void storeThatIsDownRefusesCallsWithoutEffect() {
    server.setFaults(StoreFaults.none().withDown(true));
    assertThrows(
        StoreException.Unavailable.class, () -> store.compareAndSet("k", 0, bytes("x"), null));
    assertThrows(StoreException.Unavailable.class, () -> store.read("k"));
    assertEquals(0, server.state().revision());
    assertEquals(1, server.counts().get("compareAndSet"));
  }

  @Test
  void hangingStoreMakesAWriteUnknownAndAReadUnavailable() {
    server.setFaults(StoreFaults.none().withHang(true));
    try (HttpStore impatient = HttpStore.connect(server.address(), Duration.ofSeconds(1))) {
      assertThrows(
          StoreException.OutcomeUnknown.class,
          () -> impatient.compareAndSet("k", 0, bytes("x"), null));
      assertThrows(StoreException.Unavailable.class, () -> impatient.read("k"));
    }
  }

  @Test
  void closedPortIsUnavailable() throws IOException {
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    try (HttpStore unreachable =
        HttpStore.connect(URI.create("http://127.0.0.1:" + port), TIMEOUT)) {
      assertThrows(
          StoreException.Unavailable.class,
          () -> unreachable.compareAndSet("k", 0, bytes("x"), null));
    }
  }

  @Test
  void sameSeedLosesTheSameAnswers() throws StoreException {
    assertEquals(outcomes(7), outcomes(7));
    assertTrue(outcomes(7).contains("lost") && outcomes(7).contains("answered"));
  }

  private List<String> outcomes(long seed) throws StoreException {
    server.setFaults(StoreFaults.none().withLoseProbability(0.3, seed));
    List<String> outcomes = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      try {
        store.compareAndSet("none", 99, bytes("x"), null);
        outcomes.add("answered");
      } catch (StoreException.OutcomeUnknown e) {
        outcomes.add("lost");
      }
    }
    return outcomes;
  }

  @Test
  void vmListShowsAChangeOnlyAfterTheLag() throws StoreException {
    ListedVm vm =
        new ListedVm(
            VmRole.TARGET, "t-1", "kannelkoda", "lyrics", "tartu-a", "127.0.0.1", 1, 0, 3, false);
    server.setFaults(StoreFaults.none().withVmListLagMillis(2000));
    server.putVm(vm);
    try (HttpVmList list = HttpVmList.connect(server.address(), TIMEOUT)) {
      assertEquals(List.of(), list.fetch());
      time.advance(Duration.ofSeconds(2));
      assertEquals(List.of(vm), list.fetch());
      server.removeVm("t-1");
      assertEquals(List.of(vm), list.fetch());
      time.advance(Duration.ofSeconds(2));
      assertEquals(List.of(), list.fetch());
    }
  }
}
