package org.sageladder.bench.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.SageladderClient;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;
import org.sageladder.platform.event.EventPage;
import org.sageladder.standin.store.StoreFaults;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;

/** Tests entry VMs as real processes with small heaps, two in each of two zones. */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WholeProcessTest {
  private static final String CUSTOMER = "kalnins-dauge";
  private static final Duration START_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration DEADLINE = LongTimeoutContract.DEADLINE;
  private static final int THREADS = 8;

  @TempDir private static Path directory;
  private static ProcessCluster cluster;
  private SageladderClient client;
  private final ExecutorService background = Executors.newSingleThreadExecutor();

  /** Starts one cluster for all tests; each test repairs what it breaks. */
  @BeforeAll
  static void startCluster() throws Exception {
    ClusterPlan plan =
        ClusterPlan.of(LongTimeoutContract.kalninsDauge())
            .zones(List.of("riga-1", "riga-2"))
            .entriesPerZone(2)
            .targetsPerZone(2);
    cluster = ProcessCluster.start(plan, directory);
  }

  @AfterAll
  static void stopCluster() {
    cluster.close();
  }

  @BeforeEach
  void start() throws Exception {
    cluster.awaitServing(START_TIMEOUT);
    client = SageladderClient.start(ClientOptions.seeds(cluster.callersAddresses()));
  }

  @AfterEach
  void stop() {
    client.close();
    background.shutdownNow();
  }

  /** Replaces an entry VM that has ended and updates the platform's list immediately. */
  private static void replace(EntryProcess ended) throws IOException {
    cluster.unlist(ended);
    cluster.addEntry(ended.vm() + "x", ended.zone());
  }

  private Workload bids(String name) {
    return new Workload(client, CUSTOMER, "bid", name, DEADLINE, 4000);
  }

  private Workload listings(String name) {
    return new Workload(client, CUSTOMER, "lot-listing", name, DEADLINE, 4000);
  }

  private Future<Map<String, Workload.CompletedRequest>> sendInBackground(
      Workload workload, int count) {
    return background.submit(() -> workload.send(count, THREADS));
  }

  private void awaitExecutions(int count) throws InterruptedException {
    int before = cluster.executionCounts().size();
    while (cluster.executionCounts().size() < before + count) {
      Thread.sleep(5);
    }
  }

  private OutcomeSummary awaitSummary(Future<Map<String, Workload.CompletedRequest>> requests)
      throws ExecutionException, InterruptedException {
    Map<String, Workload.CompletedRequest> ended = requests.get();
    while (cluster.targets().stream().anyMatch(target -> target.busySlotCount() > 0)) {
      Thread.sleep(5);
    }
    return OutcomeSummary.of(ended, cluster.executionCounts());
  }

  private static void assertConsistent(int count, OutcomeSummary summary) {
    assertEquals(count, summary.total(), summary::toString);
    assertTrue(summary.isConsistent(), summary::toString);
  }

  /**
   * Each thread has at most one request in flight, so a failure can affect at most one per thread.
   */
  private static void assertOnlyInFlightRequestsFailed(OutcomeSummary summary) {
    assertTrue(summary.total() - summary.complete() <= THREADS, summary::toString);
  }

  // An entry VM is killed while bids are in flight. Each bid must be reported as executed, not
  // executed or unknown; no bid may be executed twice or reported incorrectly.
  @Test
  void bidOutcomesAreCorrectWhenAnEntryVmIsKilled() throws Exception {
    int count = 300;
    Future<Map<String, Workload.CompletedRequest>> requests =
        sendInBackground(bids("death"), count);
    awaitExecutions(60);
    EntryProcess killed = cluster.runningEntries().get(0);
    killed.kill();
    OutcomeSummary summary = awaitSummary(requests);
    replace(killed);
    assertConsistent(count, summary);
    assertOnlyInFlightRequestsFailed(summary);
  }

  // An entry VM is paused for two seconds, as by a hypervisor, while bids are in flight. Callers
  // retry at other entry VMs with the same permits, and the paused VM resumes with the old
  // requests.
  @Test
  void noBidRunsTwiceWhenAnEntryVmIsPausedAndResumed() throws Exception {
    int count = 200;
    Future<Map<String, Workload.CompletedRequest>> requests =
        sendInBackground(bids("pause"), count);
    awaitExecutions(40);
    EntryProcess paused = cluster.runningEntries().get(1);
    paused.pause();
    try {
      Thread.sleep(2000);
    } finally {
      paused.resume();
    }
    assertConsistent(count, awaitSummary(requests));
  }

  // The store is down for a while. The request path does not depend on it, so no request may fail.
  @Test
  void requestsSucceedDuringStoreOutage() throws Exception {
    cluster.store().setFaults(StoreFaults.none().withDown(true));
    long callsBefore = storeCalls();
    while (storeCalls() < callsBefore + 4) {
      Thread.sleep(10);
    }
    OutcomeSummary summary = awaitSummary(sendInBackground(listings("outage"), 200));
    assertEquals(200, summary.complete(), summary::toString);
    assertTrue(summary.wrongAnswers() == 0, summary::toString);
    cluster.store().setFaults(StoreFaults.none());
  }

  private long storeCalls() {
    return cluster.store().counts().values().stream().mapToLong(Long::longValue).sum();
  }

  // A planned stop while bids are in flight: the process exits with code 0 and every bid that was
  // in flight is completed.
  @Test
  void plannedStopCompletesInFlightBids() throws Exception {
    int count = 200;
    Future<Map<String, Workload.CompletedRequest>> requests = sendInBackground(bids("stop"), count);
    awaitExecutions(40);
    EntryProcess stopping = cluster.runningEntries().get(0);
    stopping.terminate();
    OutcomeSummary summary = awaitSummary(requests);
    assertEquals(0, stopping.awaitEnd(60));
    replace(stopping);
    assertConsistent(count, summary);
    assertEquals(0, summary.unknown(), summary::toString);
  }

  // A target crashes while listings are in flight. Listings are repeatable, so callers get complete
  // responses from other targets.
  @Test
  void listingsSucceedAfterATargetCrash() throws Exception {
    int count = 200;
    Future<Map<String, Workload.CompletedRequest>> requests =
        sendInBackground(listings("crash"), count);
    awaitExecutions(40);
    cluster.targetsOf("lot-listing").get(0).crash();
    OutcomeSummary summary = awaitSummary(requests);
    assertEquals(count, summary.total(), summary::toString);
    assertEquals(0, summary.wrongAnswers(), summary::toString);
    assertEquals(0, summary.falseRan(), summary::toString);
    assertOnlyInFlightRequestsFailed(summary);
  }

  // A caller that lost the response to its bid sends it again with the same permit to another entry
  // VM. It must get the response of the single execution, even if that response has no body.
  @ParameterizedTest
  @ValueSource(ints = {0, 100})
  void retryWithSamePermitGetsTheFirstAnswer(int answerBytes) throws Exception {
    HttpClient http = HttpClient.newHttpClient();
    String key = "repeat-" + answerBytes;
    String path = "/v1/request/kalnins-dauge/bid/bids?work=" + key + "&answerBytes=" + answerBytes;
    List<EntryProcess> entries = new ArrayList<>(cluster.runningEntries());
    EntryProcess issuer = entries.get(0);
    entries.add(issuer);
    String permit = requestPermit(http, issuer);
    for (EntryProcess entry : entries) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + entry.callersAddress() + path))
              .header("Sageladder-Deadline-Millis", "5000")
              .header("Sageladder-Permit", permit)
              .POST(HttpRequest.BodyPublishers.ofString("bid"))
              .timeout(Duration.ofSeconds(20))
              .build();
      HttpResponse<byte[]> answer = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      String result = answer.headers().firstValue("Sageladder-Result").orElse("none");
      String body = new String(answer.body(), StandardCharsets.UTF_8);
      assertEquals(
          "0 OK", result, () -> entry.vm() + " with a permit of " + issuer.vm() + ": " + body);
      assertEquals(answerBytes, answer.body().length);
    }
    assertEquals(1, cluster.executionCounts().get(key));
  }

  /** Sends a bid without a permit; the refusal contains a permit issued by {@code entry}. */
  private static String requestPermit(HttpClient http, EntryProcess entry) throws Exception {
    URI uri = URI.create("http://" + entry.callersAddress() + "/v1/request/kalnins-dauge/bid/bids");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Sageladder-Deadline-Millis", "5000")
            .POST(HttpRequest.BodyPublishers.ofString("bid"))
            .timeout(Duration.ofSeconds(20))
            .build();
    HttpResponse<String> refusal = http.send(request, HttpResponse.BodyHandlers.ofString());
    return refusal.headers().firstValue("Sageladder-Permit").orElseThrow();
  }

  // A caller closes its connection while the target processes the request. The slot must be freed
  // immediately, not only when the abandoned work is done. The entry VM sees the close as the end
  // of input, which the HTTP library by default treats as a half-closed connection whose caller
  // still reads. Deadline and service time exceed the test's timeout, so only the close can free
  // the slot.
  @Test
  void closedCallerConnectionFreesTheSlot() throws Exception {
    List<TargetServer> targets = cluster.targetsOf("lot-listing");
    targets.forEach(
        target -> target.setFaults(TargetFaults.none().withLateAnswers(1, DEADLINE.toMillis())));
    long cancelled = cancellations(targets);
    EntryProcess entry = cluster.runningEntries().get(0);
    try {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callersPort())) {
        String head =
            String.join(
                "\r\n",
                "GET /v1/request/kalnins-dauge/lot-listing/lots?work=gone HTTP/1.1",
                "Host: e",
                "Sageladder-Deadline-Millis: " + DEADLINE.toMillis(),
                "Sageladder-Request-Id: gone",
                "",
                "");
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        while (targets.stream().noneMatch(target -> target.executions().count("gone") > 0)) {
          Thread.sleep(5);
        }
      }
      while (targets.stream().anyMatch(target -> target.busySlotCount() > 0)) {
        Thread.sleep(5);
      }
      assertEquals(cancelled + 1, cancellations(targets));
      assertEquals(List.of("CALLER_GONE"), cancellationReasons(entry, "gone"));
    } finally {
      targets.forEach(target -> target.setFaults(TargetFaults.none()));
    }
  }

  private static long cancellations(List<TargetServer> targets) {
    return targets.stream().mapToLong(TargetServer::cancellationCount).sum();
  }

  private static List<String> cancellationReasons(EntryProcess entry, String id) throws Exception {
    List<String> reasons = new ArrayList<>();
    long after = 0;
    while (true) {
      URI uri =
          URI.create("http://127.0.0.1:" + entry.operatorsPort() + "/v1/events?after=" + after);
      EventPage page =
          EventPage.fromJson(
              HttpClient.newHttpClient()
                  .send(
                      HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray())
                  .body());
      if (page.events().isEmpty()) {
        return reasons;
      }
      for (Event event : page.events()) {
        if (event.kind() == EventKind.CANCELLED && event.request().equals(id)) {
          reasons.add(event.detail());
        }
      }
      after = page.next();
    }
  }
}
