package org.sageladder.assembly;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sageladder.client.Answer;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.core.contract.Contract;

/**
 * Generates open-loop load for one customer at a constant rate, through the client library.
 *
 * <p>The rate does not depend on responses, and latency is measured from the scheduled send time.
 * This avoids coordinated omission: a slow system shows up as high latency, not as lower load.
 */
final class LocalLoad implements AutoCloseable {
  private static final int CALLER_THREADS = 256;
  private static final Duration MAX_DEADLINE = Duration.ofSeconds(4);
  private static final long MAX_LATENCY_MICROS = 60_000_000L;

  private final Contract contract;
  private final SageladderClient client;
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "load-clock"));
  private final ExecutorService callers =
      Executors.newFixedThreadPool(CALLER_THREADS, task -> new Thread(task, "caller"));
  private final Map<String, LongAdder> resultCounts = new ConcurrentHashMap<>();
  private final Map<String, String> firstDetails = new ConcurrentHashMap<>();
  private final Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong endedCount = new AtomicLong();
  private final Random random;

  private LocalLoad(Contract contract, SageladderClient client, long seed) {
    this.contract = contract;
    this.client = client;
    this.random = new Random(seed);
  }

  /**
   * Creates callers that connect to the entry VMs at {@code addresses}; {@code seed} determines the
   * client blocks of their requests.
   */
  static LocalLoad create(Contract contract, List<String> addresses, long seed) {
    return new LocalLoad(contract, SageladderClient.start(ClientOptions.seeds(addresses)), seed);
  }

  /**
   * Sends requests at a fraction of the total capacity for {@code duration}, then waits for the
   * outstanding responses.
   */
  void run(double fractionOfCapacity, Duration duration) throws InterruptedException {
    List<Future<?>> streams = new ArrayList<>();
    for (Contract.Service service : contract.services()) {
      double rate = service.targetCapacity() * service.targets() * fractionOfCapacity;
      long gapNanos = (long) (TimeUnit.SECONDS.toNanos(1) / rate);
      streams.add(
          scheduler.scheduleAtFixedRate(
              () -> sendScheduled(service),
              random.nextInt(1_000_000),
              gapNanos,
              TimeUnit.NANOSECONDS));
    }
    Thread.sleep(duration.toMillis());
    streams.forEach(stream -> stream.cancel(false));
    awaitLastSend();
    callers.shutdown();
    long graceMillis = 2 * MAX_DEADLINE.toMillis();
    if (!callers.awaitTermination(graceMillis, TimeUnit.MILLISECONDS)) {
      callers.shutdownNow();
    }
  }

  /** Callers that shut down accept no request, not even one that is being sent. */
  private void awaitLastSend() throws InterruptedException {
    scheduler.shutdown();
    var unused = scheduler.awaitTermination(MAX_DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void sendScheduled(Contract.Service service) {
    sentCount.incrementAndGet();
    long dueNanos = System.nanoTime();
    Request request = createRequest(service);
    callers.execute(
        () -> {
          countResult(service.name(), client.send(request));
          long micros = (System.nanoTime() - dueNanos) / 1000;
          latency.recordValue(Math.min(MAX_LATENCY_MICROS - 1, micros));
          endedCount.incrementAndGet();
        });
  }

  private Request createRequest(Contract.Service service) {
    Contract.ClientBlocks blocks =
        contract.clientBlocks().get(random.nextInt(contract.clientBlocks().size()));
    int block = blocks.first() + random.nextInt(blocks.last() - blocks.first() + 1);
    Duration deadline =
        MAX_DEADLINE.compareTo(service.longestDeadline()) < 0
            ? MAX_DEADLINE
            : service.longestDeadline();
    Request request =
        service.repeatable()
            ? Request.get(contract.customer(), service.name(), block, "/item")
            : Request.post(
                contract.customer(),
                service.name(),
                block,
                "/items",
                "an item".getBytes(StandardCharsets.UTF_8),
                "text/plain");
    return request.deadline(deadline);
  }

  private void countResult(String service, Answer answer) {
    String name;
    String detail = "";
    if (answer instanceof Answer.Complete complete) {
      name = "whole answer, status " + complete.status();
    } else if (answer instanceof Answer.NotRun notRun) {
      name = "not run, " + notRun.code();
      detail = notRun.detail();
    } else if (answer instanceof Answer.Unknown unknown) {
      name = "unknown, " + unknown.code();
      detail = unknown.detail();
    } else {
      name = "ran, answer not kept";
    }
    String key = service + ": " + name;
    resultCounts.computeIfAbsent(key, unused -> new LongAdder()).increment();
    firstDetails.putIfAbsent(key, detail);
  }

  long sentCount() {
    return sentCount.get();
  }

  long endedCount() {
    return endedCount.get();
  }

  Histogram latency() {
    return latency;
  }

  /** Number of requests by name of their result. */
  Map<String, Long> resultCounts() {
    Map<String, Long> sums = new TreeMap<>();
    resultCounts.forEach((name, count) -> sums.put(name, count.sum()));
    return sums;
  }

  /** Reason that the first result with that name gave; empty for complete responses. */
  String firstDetail(String name) {
    return firstDetails.getOrDefault(name, "");
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
    callers.shutdownNow();
    client.close();
  }
}
