package org.sageladder.bench.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.client.Answer;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.standin.store.StoreFaults;

/** Entry VMs as real processes with small heaps, two in each of two zones. */
class WholeProcessTest {
  private static final String CUSTOMER = "kalnins-dauge";
  private static final Duration START_LIMIT = Duration.ofSeconds(60);
  private static final int THREADS = 8;

  @TempDir private Path directory;
  private ProcessCluster cluster;
  private SageladderClient client;
  private final ExecutorService background = Executors.newSingleThreadExecutor();

  @BeforeEach
  void start() throws Exception {
    ClusterPlan plan =
        ClusterPlan.of(ContractYaml.read(Path.of("..", "contracts", "kalnins-dauge.yaml")))
            .zones(List.of("riga-1", "riga-2"))
            .entriesPerZone(2)
            .targetsPerZone(2);
    cluster = ProcessCluster.start(plan, directory);
    cluster.awaitServing(START_LIMIT);
    client = SageladderClient.start(ClientOptions.seeds(cluster.callersAddresses()));
  }

  @AfterEach
  void stop() {
    client.close();
    cluster.close();
    background.shutdownNow();
  }

  private Workload bids(String name) {
    return new Workload(client, CUSTOMER, "bid", name, Duration.ofSeconds(6), 4000);
  }

  private Workload listings(String name) {
    return new Workload(client, CUSTOMER, "lot-listing", name, Duration.ofSeconds(3), 4000);
  }

  private Future<Map<String, Workload.Ended>> inBackground(Workload workload, int count) {
    return background.submit(() -> workload.send(count, THREADS));
  }

  private void awaitExecutions(int count) throws InterruptedException {
    while (cluster.executions().size() < count) {
      Thread.sleep(5);
    }
  }

  private Account settled(Future<Map<String, Workload.Ended>> run)
      throws ExecutionException, InterruptedException {
    Map<String, Workload.Ended> ended = run.get();
    while (cluster.targets().stream().anyMatch(target -> target.busy() > 0)) {
      Thread.sleep(5);
    }
    return Account.of(ended, cluster.executions());
  }

  private static void assertAccounted(int count, Account account) {
    assertEquals(count, account.total(), account::toString);
    assertTrue(account.holds(), account::toString);
  }

  // An entry VM dies in the middle of an auction's close. Each bidder must learn what became of
  // their bid: taken, not taken, or not known; none may be taken twice or be told a falsehood.
  @Test
  void everyBidIsAccountedForWhenAnEntryVmDies() throws Exception {
    int count = 300;
    Future<Map<String, Workload.Ended>> run = inBackground(bids("death"), count);
    awaitExecutions(60);
    cluster.entries().get(0).kill();
    Account account = settled(run);
    assertAccounted(count, account);
    assertTrue(account.whole() > count / 2, account::toString);
  }

  // A hypervisor pauses an entry VM for two seconds while bids are under way. Callers ask the other
  // entry VMs with the same permits; the paused one wakes with old work in its hands.
  @Test
  void noBidRunsTwiceWhenAnEntryVmIsPausedAndWakes() throws Exception {
    int count = 200;
    Future<Map<String, Workload.Ended>> run = inBackground(bids("pause"), count);
    awaitExecutions(40);
    EntryProcess paused = cluster.entries().get(1);
    paused.pause();
    try {
      Thread.sleep(2000);
    } finally {
      paused.resume();
    }
    assertAccounted(count, settled(run));
  }

  // The platform's service is down for a while. Nothing on the path of a request needs it, so no
  // caller may notice.
  @Test
  void noRequestIsRefusedBecauseTheStoreIsDown() throws Exception {
    cluster.store().faults(StoreFaults.none().down(true));
    long callsBefore = calls();
    while (calls() < callsBefore + 4) {
      Thread.sleep(10);
    }
    Account account = settled(inBackground(listings("outage"), 200));
    assertEquals(200, account.whole(), account::toString);
    assertTrue(account.foreign() == 0, account::toString);
    cluster.store().faults(StoreFaults.none());
  }

  private long calls() {
    return cluster.store().counts().values().stream().mapToLong(Long::longValue).sum();
  }

  // A planned stop in the middle of bids: the process ends by itself with exit code 0, and no bid
  // that was in flight is cut off.
  @Test
  void aPlannedStopCutsOffNoBid() throws Exception {
    int count = 200;
    Future<Map<String, Workload.Ended>> run = inBackground(bids("stop"), count);
    awaitExecutions(40);
    EntryProcess stopping = cluster.entries().get(0);
    stopping.beginStop();
    Account account = settled(run);
    assertEquals(0, stopping.awaitExit(60));
    assertAccounted(count, account);
    assertEquals(0, account.unknown(), account::toString);
  }

  // A target crashes while listings are being fetched. Listings may repeat, so collectors see
  // whole answers from the other targets.
  @Test
  void listingsSurviveATargetsCrash() throws Exception {
    int count = 200;
    Future<Map<String, Workload.Ended>> run = inBackground(listings("crash"), count);
    awaitExecutions(40);
    cluster.targetsOf("lot-listing").get(0).crash();
    Account account = settled(run);
    assertEquals(count, account.total(), account::toString);
    assertEquals(0, account.foreign(), account::toString);
    assertEquals(0, account.falseRan(), account::toString);
    assertTrue(account.whole() > count * 9 / 10, account::toString);
  }

  // A caller gives up and closes its connection while the target works. The slot must be free for
  // others at once, not only when the work nobody waits for is done.
  @Test
  void aCallerThatGoesAwayFreesItsSlot() throws Exception {
    cluster.targetsOf("lot-listing").forEach(t -> t.faults(t.faults().late(1, 60_000)));
    try (SageladderClient hasty =
        SageladderClient.start(
            ClientOptions.seeds(cluster.callersAddresses()).tryShare(0.1).mostTries(1))) {
      Answer answer =
          hasty.send(
              Request.get(CUSTOMER, "lot-listing", 5, "/lots?work=gone")
                  .deadline(Duration.ofSeconds(3)));
      assertInstanceOf(Answer.Unknown.class, answer, answer::toString);
    }
    long cancelledBy = System.nanoTime() + Duration.ofSeconds(2).toNanos();
    while (cluster.targetsOf("lot-listing").stream().anyMatch(t -> t.busy() > 0)) {
      assertFalse(System.nanoTime() > cancelledBy, "the slot is still held");
      Thread.sleep(5);
    }
    assertTrue(
        cluster.targetsOf("lot-listing").stream().anyMatch(t -> t.cancellations() > 0),
        "the work was cancelled, not ended by its deadline");
  }
}
