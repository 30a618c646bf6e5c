package org.sageladder.bench.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.sageladder.assembly.LocalSystem;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.tools.http.BlockingHttpClient;

/**
 * Measures the processor time of an entry VM for a look-up with its HTTP exchange, over keep-alive
 * connections.
 *
 * <p>Only threads that existed before the caller threads were created are counted. The background
 * work of the system continues during the measurement and is part of the intercept.
 */
final class ExchangeSlopes {
  private static final int[] COUNTS = {5_000, 10_000, 15_000, 20_000};
  private static final int WARM_UP_LOOK_UPS = 20_000;
  private static final int CALLERS = 4;
  private static final int ZONES = 2;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ExchangeSlopes() {}

  static List<SlopeResult> measure() throws Exception {
    Contract contract = ControlSlopes.fleetContract(ZONES, 1);
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, 1)) {
      system.awaitReady();
      Set<Long> serverThreads =
          LongStream.of(THREADS.getAllThreadIds()).boxed().collect(Collectors.toSet());
      serverThreads.remove(Thread.currentThread().getId());
      URI uri =
          URI.create(
              "http://"
                  + system.callerAddresses().get(0)
                  + "/v1/look-up?contract="
                  + contract.customer()
                  + "&service="
                  + TargetSize.SERVICE
                  + "&block=1");
      List<Slope.Point> points = new ArrayList<>();
      try (BlockingHttpClient httpClient = BlockingHttpClient.withTimeout(TIMEOUT)) {
        sendLookUps(httpClient, uri, WARM_UP_LOOK_UPS);
        for (int count : COUNTS) {
          double before = cpuMicros(serverThreads);
          sendLookUps(httpClient, uri, count);
          points.add(new Slope.Point(count, cpuMicros(serverThreads) - before));
        }
      }
      return List.of(
          new SlopeResult(
              "processor time of one look-up with its HTTP exchange",
              "us",
              "look-up",
              Slope.fit(points),
              1,
              "entry.http, entry.request"));
    }
  }

  private static double cpuMicros(Set<Long> threads) {
    return threads.stream().mapToLong(THREADS::getThreadCpuTime).filter(t -> t > 0).sum() / 1e3;
  }

  private static void sendLookUps(BlockingHttpClient httpClient, URI uri, int count)
      throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<?>> done = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        done.add(
            callers.submit(
                () -> {
                  for (int n = 0; n < count / CALLERS; n++) {
                    if (httpClient.get(uri).status() != 200) {
                      throw new IOException("look-up was not answered with status 200");
                    }
                  }
                  return null;
                }));
      }
      for (Future<?> future : done) {
        Measure.sink = future.get();
      }
    } finally {
      callers.shutdown();
    }
  }
}
