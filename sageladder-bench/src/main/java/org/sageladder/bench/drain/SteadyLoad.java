package org.sageladder.bench.drain;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.RequestChecksum;

/**
 * Callers that send listings and bids to the entry VMs of a look-up, which they cache for its time
 * to live.
 */
final class SteadyLoad implements AutoCloseable {
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(7);
  private static final long LOOK_UP_TTL_NANOS = 2_000_000_000L;
  private static final int ANSWER_BYTES = 256;

  private final TestBed bed;
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, AtomicLong> counts = new TreeMap<>();
  private final AtomicLong nextKey = new AtomicLong();
  private volatile boolean isClosed;

  private SteadyLoad(TestBed bed) {
    this.bed = bed;
  }

  static SteadyLoad start(TestBed bed, int callers, int pauseMillis) {
    SteadyLoad load = new SteadyLoad(bed);
    for (int i = 0; i < callers; i++) {
      int seed = i;
      Thread thread = new Thread(() -> load.runCaller(seed, pauseMillis), "caller-" + i);
      thread.setDaemon(true);
      load.threads.add(thread);
      thread.start();
    }
    return load;
  }

  private void runCaller(int seed, int pauseMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    Caller caller = Caller.create();
    List<Integer> ports = List.of();
    long lookedUpAtNanos = 0;
    try {
      while (!isClosed) {
        boolean isBid = random.nextInt(10) < 3;
        if (ports.isEmpty() || System.nanoTime() - lookedUpAtNanos > LOOK_UP_TTL_NANOS) {
          ports = lookUp(caller, random);
          lookedUpAtNanos = System.nanoTime();
        }
        String key = "d" + nextKey.getAndIncrement();
        Reply reply = isBid ? sendBid(caller, ports, key) : sendListing(caller, ports, key);
        count(reply);
        if (reply.shouldLookUpAgain()) {
          ports = List.of();
        }
        Thread.sleep(random.nextInt(2 * pauseMillis + 1));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Integer> lookUp(Caller caller, SplittableRandom random) throws InterruptedException {
    for (int i = 0; i < 20; i++) {
      int port = bed.entries().get(random.nextInt(bed.entries().size())).callersPort();
      List<Integer> found = caller.lookUp(port, "listings", random.nextInt(1_000));
      if (!found.isEmpty()) {
        return found;
      }
      Thread.sleep(50);
    }
    return List.of();
  }

  private static Reply sendListing(Caller caller, List<Integer> ports, String key)
      throws InterruptedException {
    String path = "/lots?answerBytes=" + ANSWER_BYTES + "&work=" + key;
    return sendToFirstReachable(caller, ports, "GET", "listings", path, new byte[0], "");
  }

  private static Reply sendBid(Caller caller, List<Integer> ports, String key)
      throws InterruptedException {
    String path = "/lots/7?answerBytes=" + ANSWER_BYTES + "&work=" + key;
    byte[] body = key.getBytes(StandardCharsets.UTF_8);
    Reply reply = sendToFirstReachable(caller, ports, "POST", "bids", path, body, "");
    for (int i = 0; i < 10 && !reply.permit().isEmpty(); i++) {
      reply = sendToFirstReachable(caller, ports, "POST", "bids", path, body, reply.permit());
    }
    return reply;
  }

  /** Sends to the entry VMs in order until one accepts the connection. */
  private static Reply sendToFirstReachable(
      Caller caller,
      List<Integer> ports,
      String method,
      String service,
      String path,
      byte[] body,
      String permit)
      throws InterruptedException {
    Reply reply = Reply.REFUSED;
    for (int port : ports) {
      reply = caller.send(port, method, service, path, body, permit, DEADLINE, CLIENT_TIMEOUT);
      if (!reply.isRefused()) {
        boolean isComplete = reply.isAnswerTo(RequestChecksum.of(method, path, body), ANSWER_BYTES);
        return reply.ran() && !isComplete ? Reply.CUT : reply;
      }
    }
    return reply;
  }

  private synchronized void count(Reply reply) {
    String name = reply.hasNoAnswer() ? reply.result() : reply.result() + " " + reply.outcome();
    counts.computeIfAbsent(name, ignored -> new AtomicLong()).incrementAndGet();
  }

  /** Number of completed requests by result. */
  synchronized Map<String, Long> counts() {
    Map<String, Long> copy = new TreeMap<>();
    counts.forEach((name, count) -> copy.put(name, count.get()));
    return copy;
  }

  /** Requests whose connection was closed before the response was complete. */
  long cutCount() {
    return counts().getOrDefault("cut", 0L);
  }

  @Override
  public void close() {
    isClosed = true;
    boolean interrupted = false;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
