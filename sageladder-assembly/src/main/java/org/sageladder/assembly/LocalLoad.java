package org.sageladder.assembly;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.sageladder.core.contract.Contract;

/**
 * Callers of one customer at a steady rate: look-up, then the entry VM it names, then the next.
 *
 * <p>The rate does not wait for answers, and latency counts from when a request was due, so a slow
 * system shows as slow instead of as less load.
 */
final class LocalLoad implements AutoCloseable {
  private static final JsonMapper JSON = new JsonMapper();
  private static final int MOST_TRIES = 3;
  private static final Duration DEADLINE = Duration.ofSeconds(4);

  private final Contract contract;
  private final List<String> addresses;
  private final HttpAsyncRequester requester;
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(2, task -> new Thread(task, "load"));
  private final Map<String, LongAdder> results = new ConcurrentHashMap<>();
  private final Histogram latency = new ConcurrentHistogram(60_000_000L, 3);
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong ended = new AtomicLong();
  private final Random random;

  private LocalLoad(Contract contract, List<String> addresses, long seed) {
    this.contract = contract;
    this.addresses = List.copyOf(addresses);
    this.random = new Random(seed);
    this.requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(2).build())
            .setDefaultMaxPerRoute(200)
            .setMaxTotal(2000)
            .create();
    requester.start();
  }

  static LocalLoad create(Contract contract, List<String> addresses, long seed) {
    return new LocalLoad(contract, addresses, seed);
  }

  /** Sends at a fraction of the whole capacity for a while, then waits for the last answers. */
  void run(double fractionOfCapacity, Duration duration) throws InterruptedException {
    List<Future<?>> streams = new ArrayList<>();
    for (Contract.Service service : contract.services()) {
      double rate = service.targetCapacity() * service.targets() * fractionOfCapacity;
      long gapNanos = Math.max(100_000, (long) (1e9 / rate));
      streams.add(
          timers.scheduleAtFixedRate(
              () -> start(service), random.nextInt(1_000_000), gapNanos, TimeUnit.NANOSECONDS));
    }
    Thread.sleep(duration.toMillis());
    streams.forEach(stream -> stream.cancel(false));
    long until = System.currentTimeMillis() + 2 * DEADLINE.toMillis();
    while (ended.get() < sent.get() && System.currentTimeMillis() < until) {
      Thread.sleep(20);
    }
  }

  private void start(Contract.Service service) {
    sent.incrementAndGet();
    int block = block();
    new Call(service, block, System.nanoTime()).lookUp(0);
  }

  private synchronized int block() {
    Contract.ClientBlocks range =
        contract.clientBlocks().get(random.nextInt(contract.clientBlocks().size()));
    return range.first() + random.nextInt(range.last() - range.first() + 1);
  }

  private synchronized String anyAddress() {
    return addresses.get(random.nextInt(addresses.size()));
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

  /** Results by name, as callers saw them last. */
  Map<String, Long> results() {
    Map<String, Long> sums = new TreeMap<>();
    results.forEach((name, count) -> sums.put(name, count.sum()));
    return sums;
  }

  @Override
  public void close() {
    timers.shutdownNow();
    requester.close(CloseMode.IMMEDIATE);
  }

  /** One request of one caller, with its tries. */
  private final class Call {
    private final Contract.Service service;
    private final int block;
    private final long dueNanos;
    private final List<String> entries = new ArrayList<>();
    private String permit = "";
    private int tries;

    Call(Contract.Service service, int block, long dueNanos) {
      this.service = service;
      this.block = block;
      this.dueNanos = dueNanos;
    }

    void lookUp(int attempt) {
      String uri =
          "http://"
              + anyAddress()
              + "/v1/look-up?contract="
              + contract.customer()
              + "&service="
              + service.name()
              + "&block="
              + block;
      AsyncRequestBuilder request = AsyncRequestBuilder.get(uri);
      exchange(
          request,
          (head, body) -> {
            try {
              JsonNode json = JSON.readTree(body);
              json.path("entries").forEach(entry -> entries.add(entry.path("address").asText()));
              permit = json.path("permit").asText("");
            } catch (java.io.IOException e) {
              end("BAD_LOOK_UP");
              return;
            }
            if (entries.isEmpty()) {
              end(label(head));
            } else {
              send();
            }
          },
          () -> {
            if (attempt < MOST_TRIES) {
              lookUp(attempt + 1);
            } else {
              end("LOOK_UP_FAILED");
            }
          });
    }

    void send() {
      String address = entries.get(tries % entries.size());
      tries++;
      String uri =
          "http://" + address + "/v1/request/" + contract.customer() + "/" + service.name() + "/x";
      AsyncRequestBuilder request =
          service.repeatable() ? AsyncRequestBuilder.get(uri) : AsyncRequestBuilder.post(uri);
      request.addHeader("Sageladder-Deadline-Millis", Long.toString(DEADLINE.toMillis()));
      if (!permit.isEmpty()) {
        request.addHeader("Sageladder-Permit", permit);
      }
      exchange(request, this::answered, () -> failed());
    }

    private void answered(HttpResponse head, byte[] body) {
      String result = label(head);
      boolean running = result.contains("PERMIT_RUNNING");
      if (running && tries < MOST_TRIES) {
        var unused = timers.schedule(this::send, 50, TimeUnit.MILLISECONDS);
        return;
      }
      end(result);
    }

    private void failed() {
      if (tries < MOST_TRIES) {
        send();
      } else {
        end("NO_ANSWER");
      }
    }

    private void end(String result) {
      results.computeIfAbsent(result, name -> new LongAdder()).increment();
      latency.recordValue(Math.min(59_000_000L, (System.nanoTime() - dueNanos) / 1000));
      ended.incrementAndGet();
    }

    private String label(HttpResponse head) {
      var header = head.getFirstHeader("Sageladder-Result");
      return header == null ? "STATUS_" + head.getCode() : header.getValue();
    }
  }

  private interface Answer {
    void take(HttpResponse head, byte[] body);
  }

  private void exchange(AsyncRequestBuilder request, Answer answer, Runnable failed) {
    var unused =
        requester.execute(
            request.build(),
            new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
            Timeout.of(DEADLINE),
            new FutureCallback<Message<HttpResponse, byte[]>>() {
              @Override
              public void completed(Message<HttpResponse, byte[]> message) {
                byte[] body = message.getBody();
                answer.take(message.getHead(), body == null ? new byte[0] : body);
              }

              @Override
              public void failed(Exception cause) {
                failed.run();
              }

              @Override
              public void cancelled() {
                failed.run();
              }
            });
  }
}
