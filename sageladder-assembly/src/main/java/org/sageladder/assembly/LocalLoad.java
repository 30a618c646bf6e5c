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
 * Callers of one customer at a steady rate, through the callers' library.
 *
 * <p>The rate does not wait for answers, and latency counts from when a request was due, so a slow
 * system shows as slow instead of as less load.
 */
final class LocalLoad implements AutoCloseable {
  private static final int CALLERS = 256;
  private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(4);
  private static final long LONGEST_LATENCY_MICROS = 60_000_000L;

  private final Contract contract;
  private final SageladderClient client;
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "load-clock"));
  private final ExecutorService callers =
      Executors.newFixedThreadPool(CALLERS, task -> new Thread(task, "caller"));
  private final Map<String, LongAdder> results = new ConcurrentHashMap<>();
  private final Map<String, String> examples = new ConcurrentHashMap<>();
  private final Histogram latency = new ConcurrentHistogram(LONGEST_LATENCY_MICROS, 3);
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong ended = new AtomicLong();
  private final Random random;

  private LocalLoad(Contract contract, SageladderClient client, long seed) {
    this.contract = contract;
    this.client = client;
    this.random = new Random(seed);
  }

  /** Callers that know the entry VMs at {@code addresses}; {@code seed} draws their blocks. */
  static LocalLoad create(Contract contract, List<String> addresses, long seed) {
    return new LocalLoad(contract, SageladderClient.start(ClientOptions.seeds(addresses)), seed);
  }

  /** Sends at a fraction of the whole capacity for a while, then waits for the last answers. */
  void run(double fractionOfCapacity, Duration duration) throws InterruptedException {
    List<Future<?>> streams = new ArrayList<>();
    for (Contract.Service service : contract.services()) {
      double rate = service.targetCapacity() * service.targets() * fractionOfCapacity;
      long gapNanos = (long) (TimeUnit.SECONDS.toNanos(1) / rate);
      streams.add(
          clock.scheduleAtFixedRate(
              () -> due(service), random.nextInt(1_000_000), gapNanos, TimeUnit.NANOSECONDS));
    }
    Thread.sleep(duration.toMillis());
    streams.forEach(stream -> stream.cancel(false));
    callers.shutdown();
    long grace = 2 * LONGEST_DEADLINE.toMillis();
    if (!callers.awaitTermination(grace, TimeUnit.MILLISECONDS)) {
      callers.shutdownNow();
    }
  }

  private void due(Contract.Service service) {
    sent.incrementAndGet();
    long dueNanos = System.nanoTime();
    Request request = request(service);
    callers.execute(
        () -> {
          count(service.name(), client.send(request));
          long micros = (System.nanoTime() - dueNanos) / 1000;
          latency.recordValue(Math.min(LONGEST_LATENCY_MICROS - 1, micros));
          ended.incrementAndGet();
        });
  }

  private Request request(Contract.Service service) {
    Contract.ClientBlocks range =
        contract.clientBlocks().get(random.nextInt(contract.clientBlocks().size()));
    int block = range.first() + random.nextInt(range.last() - range.first() + 1);
    Duration deadline =
        LONGEST_DEADLINE.compareTo(service.longestDeadline()) < 0
            ? LONGEST_DEADLINE
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

  private void count(String service, Answer answer) {
    String name;
    String detail = "";
    if (answer instanceof Answer.Complete whole) {
      name = "whole answer, status " + whole.status();
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
    results.computeIfAbsent(key, unused -> new LongAdder()).increment();
    examples.putIfAbsent(key, detail);
  }

  long sent() {
    return sent.get();
  }

  long ended() {
    return ended.get();
  }

  Histogram latency() {
    return latency;
  }

  /** How requests ended, by name. */
  Map<String, Long> results() {
    Map<String, Long> sums = new TreeMap<>();
    results.forEach((name, count) -> sums.put(name, count.sum()));
    return sums;
  }

  /** What the first answer of that name said of its reason; empty for whole answers. */
  String example(String name) {
    return examples.getOrDefault(name, "");
  }

  @Override
  public void close() {
    clock.shutdownNow();
    callers.shutdownNow();
    client.close();
  }
}
