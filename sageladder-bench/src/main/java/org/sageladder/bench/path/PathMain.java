package org.sageladder.bench.path;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.TestBed;
import org.sageladder.core.permit.Decision;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.standin.target.ServiceTime;

/**
 * Alternates direct calls with calls through an entry VM, and measures the memory of a million
 * permits.
 */
public final class PathMain {
  private static final int WARM_UP_CALLS = 1_500;
  private static final int DEFAULT_CALLS = 4_000;
  private static final int FULL_CALLS = 20_000;
  private static final int PERMITS = 1_000_000;
  private static final double MAX_ADDED_P50_MILLIS = 2.0;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Histogram directMicros = new Histogram(10_000_000, 3);
  private final Histogram throughEntryMicros = new Histogram(10_000_000, 3);
  private final Histogram withPermitMicros = new Histogram(10_000_000, 3);

  private PathMain() {}

  /** Makes 4,000 calls of each kind, or 20,000 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    int count = List.of(args).contains("--full") ? FULL_CALLS : DEFAULT_CALLS;
    System.out.println(permitMemory());
    try (TestBed bed = TestBed.start(1)) {
      bed.addTargets("listings", 1, ServiceTime.fixed(0), 8);
      bed.addTargets("bids", 1, ServiceTime.fixed(0), 8);
      bed.addEntries(1);
      Thread.sleep(2_000);
      PathMain path = new PathMain();
      path.run(bed, WARM_UP_CALLS);
      path.directMicros.reset();
      path.throughEntryMicros.reset();
      path.withPermitMicros.reset();
      path.run(bed, count);
      System.exit(path.report() ? 0 : 1);
    }
  }

  private void run(TestBed bed, int count) throws IOException, InterruptedException {
    URI target = bed.targets().get(0).address().resolve("/lots?answerBytes=512");
    String entry = "http://127.0.0.1:" + bed.entries().get(0).callersPort() + "/v1/request/";
    URI listing = URI.create(entry + TestBed.CUSTOMER + "/listings/lots?answerBytes=512");
    URI bid = URI.create(entry + TestBed.CUSTOMER + "/bids/lots/7?answerBytes=512");
    String permit = "";
    for (int i = 0; i < count; i++) {
      timeCall(directMicros, HttpRequest.newBuilder(target).build());
      timeCall(throughEntryMicros, request(listing).build());
      if (permit.isEmpty()) {
        permit = permit(request(bid).POST(HttpRequest.BodyPublishers.ofString("bid")).build());
      }
      HttpRequest.Builder bidWithPermit =
          request(bid).POST(HttpRequest.BodyPublishers.ofString("bid"));
      timeCall(withPermitMicros, bidWithPermit.header("Sageladder-Permit", permit).build());
      permit = "";
    }
  }

  private static HttpRequest.Builder request(URI uri) {
    return HttpRequest.newBuilder(uri).header("Sageladder-Deadline-Millis", "5000");
  }

  private String permit(HttpRequest request) throws IOException, InterruptedException {
    return client
        .send(request, HttpResponse.BodyHandlers.ofByteArray())
        .headers()
        .firstValue("Sageladder-Permit")
        .orElse("");
  }

  private void timeCall(Histogram histogram, HttpRequest request)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    if (response.statusCode() != 200 || response.body().length != 512) {
      throw new IOException(
          "unexpected response with status " + response.statusCode() + " to " + request.uri());
    }
    histogram.recordValue((System.nanoTime() - startNanos) / 1_000);
  }

  private boolean report() {
    print("direct", directMicros);
    print("through an entry VM", throughEntryMicros);
    print("through an entry VM with a permit", withPermitMicros);
    double added = millis(throughEntryMicros, 50) - millis(directMicros, 50);
    System.out.printf(
        "added by the way: p50 %.2f ms, p99 %.2f ms; with a permit p50 %.2f ms, p99 %.2f ms%n",
        added,
        millis(throughEntryMicros, 99) - millis(directMicros, 99),
        millis(withPermitMicros, 50) - millis(directMicros, 50),
        millis(withPermitMicros, 99) - millis(directMicros, 99));
    System.out.printf(
        "path: %.2f ms added at p50 (aim at most %.1f)%n", added, MAX_ADDED_P50_MILLIS);
    return added <= MAX_ADDED_P50_MILLIS;
  }

  private static void print(String name, Histogram histogram) {
    System.out.printf(
        "%s: p50 %.2f ms, p99 %.2f ms over %d calls%n",
        name, millis(histogram, 50), millis(histogram, 99), histogram.getTotalCount());
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  /**
   * Heap used by a million valid permits, unused, and by 100,000 recorded responses of 200 bytes.
   */
  private static String permitMemory() {
    PermitHome permitHome =
        PermitHome.of(
            "entry-0",
            1,
            new PermitHome.Limits(
                java.time.Duration.ofMinutes(2),
                java.time.Duration.ofSeconds(10),
                java.time.Duration.ofMinutes(1),
                1L << 30));
    long beforeMint = usedHeapBytes();
    List<Permit> usedPermits = new ArrayList<>();
    for (int i = 0; i < PERMITS; i++) {
      Permit permit = permitHome.mint(TestBed.CUSTOMER, "bids", i / 20L).orElseThrow();
      if (i % 10 == 0) {
        usedPermits.add(permit);
      }
    }
    long afterMint = usedHeapBytes();
    for (Permit permit : usedPermits) {
      if (permitHome.beginExecution(permit, "bid", PERMITS / 20L)
          instanceof Decision.Execute execute) {
        boolean unused =
            execute
                .execution()
                .recordAnswer(RecordedAnswer.complete(200, List.of(), new byte[200]));
      }
    }
    long afterAnswers = usedHeapBytes();
    long permitCount = permitHome.retainedCount(PERMITS / 20L);
    return String.format(
        "permits: %d live ones take %.1f MB; answers of 200 bytes to 100,000 of them %.1f MB more",
        permitCount, (afterMint - beforeMint) / 1e6, (afterAnswers - afterMint) / 1e6);
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
