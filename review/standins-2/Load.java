import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of all zones. They ask the directory of the VM of their zone every two seconds, and open a
 * new connection for each request, to one of the addresses at random.
 */
final class Load {
  private static final long TTL_MILLIS = 2_000;

  /** A request as its client saw it; status 0 means that there was no answer. */
  record Sent(
      String id, String tenant, boolean isUnsafe, String address, long atMillis, int status) {}

  private final Bed bed;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private volatile boolean isOver;

  Load(Bed bed) {
    this.bed = bed;
  }

  /** All requests with an end so far, by id. */
  Map<String, Sent> sent() {
    return sent;
  }

  /**
   * Sends requests from the zone of {@code nearest} until the load ends.
   *
   * @param key API key, or empty
   */
  void begin(Vm nearest, String path, String tenant, String key, int perSecond) {
    begin(nearest, path, tenant, key, perSecond, Long.MAX_VALUE);
  }

  /** The same, for that time at most. */
  void begin(
      Vm nearest, String path, String tenant, String key, int perSecond, long forMillis) {
    long end = forMillis == Long.MAX_VALUE ? forMillis : bed.record.now() + forMillis;
    Thread thread = new Thread(() -> sendAll(nearest, path, tenant, key, perSecond, end));
    thread.start();
    threads.add(thread);
  }

  /** Ends the load and waits for the last answers. */
  void end() throws InterruptedException {
    isOver = true;
    for (Thread thread : threads) {
      thread.join();
    }
    Thread.sleep(4_000);
  }

  private void sendAll(
      Vm nearest, String path, String tenant, String key, int perSecond, long end) {
    Random random = new Random(nearest.name.hashCode() + tenant.hashCode());
    List<String> addresses = List.of();
    long resolvedAt = -TTL_MILLIS;
    long from = bed.record.now();
    int count = 0;
    while (!isOver && bed.record.now() < end) {
      if (bed.record.now() - resolvedAt >= TTL_MILLIS) {
        List<String> newer = nearest.resolve(nearest.zone, nearest.region, 1_000);
        addresses = newer.isEmpty() ? addresses : newer;
        resolvedAt = bed.record.now();
      }
      if (!addresses.isEmpty()) {
        String address = addresses.get(random.nextInt(addresses.size()));
        Thread request = new Thread(() -> send(address, path, tenant, key));
        request.setDaemon(true);
        request.start();
      }
      count++;
      try {
        Thread.sleep(Math.max(0, from + 1_000L * count / perSecond - bed.record.now()));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void send(String address, String path, String tenant, String key) {
    String id = "q" + ids.incrementAndGet();
    boolean isPost = path.startsWith("/unsafe/");
    long at = bed.record.now();
    int status = 0;
    String what = "";
    try (Http http = new Http(address, 3_500)) {
      at = bed.record.now();
      http.send(
          (isPost ? "POST " : "GET ")
              + path
              + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: "
              + id
              + "\r\nRequest-Deadline: 3000\r\n"
              + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n")
              + (isPost ? "Content-Length: 2\r\n\r\nhi" : "\r\n"));
      status = http.receive().status();
    } catch (IOException e) {
      what = " " + e;
    }
    sent.put(id, new Sent(id, tenant, isPost, address, at, status));
    bed.record.line(
        "SENT " + id + " of " + tenant + " to " + address + " at " + at + ": " + status + what);
  }
}
