import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/**
 * The platform's store: items, leases, transactions, watches. It can be down, turn single machines
 * away with 503 while it serves the others, and leave a connection silent. Machines are told apart
 * by the address they call from.
 */
final class Store {
  private record Item(String key, String value, long revision, long createRev, long lease) {}

  private record Event(String key, long revision, Item item, long atMillis) {}

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTimes = new HashMap<>();
  private final Set<String> turnedAway = ConcurrentHashMap.newKeySet();
  private final Set<String> silentWatches = ConcurrentHashMap.newKeySet();
  private final long staleMillis;
  private long revision = 100;
  private long nextLease = 5_000;
  private long lastLeaseCheck = millis();
  private volatile boolean isDown;
  private volatile boolean isStopped;

  /**
   * Starts a store.
   *
   * @param staleMillis age of what a read with stale_ok returns
   */
  Store(String host, long staleMillis) throws IOException {
    this.staleMillis = staleMillis;
    server = HttpServer.create(new InetSocketAddress(host, 0), 500);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
    Thread leases = new Thread(this::endLeases, "leases");
    leases.setDaemon(true);
    leases.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  void stop() {
    isStopped = true;
    server.stop(0);
  }

  /** Answers calls from {@code host} with 503 from now on; a watch that waits is cut. */
  synchronized void turnAway(String host) {
    turnedAway.add(host);
    notifyAll();
  }

  void serveAgain(String host) {
    turnedAway.remove(host);
  }

  /** The connection of {@code host} that carries its next watch goes silent for good. */
  void silenceNextWatch(String host) {
    silentWatches.add(host);
  }

  /** True once that has happened. */
  boolean isWatchSilenced(String host) {
    return !silentWatches.contains(host);
  }

  /** All calls get 503 and do nothing, and leases pause. */
  synchronized void goDown() {
    isDown = true;
    notifyAll();
  }

  /** Serves again; leases go on from where they were. */
  synchronized void comeBack() {
    isDown = false;
  }

  /** Time until the lease of an item ends; -1 if there is none. */
  synchronized long leaseLeftMillis(String key) {
    Item item = items.get(key);
    Long end = item == null ? null : leaseEnds.get(item.lease());
    return end == null ? -1 : end - millis();
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  /** Writes an item for the operator or a backend; the revision is the acknowledgement. */
  synchronized long put(String key, String json) {
    return write(
        key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized long delete(String key) {
    return remove(key);
  }

  /** Keys with that prefix. */
  synchronized List<String> keys(String prefix) {
    return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private long write(String key, String value, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(key, value, revision, old == null ? revision : old.createRev(), lease);
    items.put(key, item);
    history.add(new Event(key, revision, item, millis()));
    notifyAll();
    return revision;
  }

  private long remove(String key) {
    if (items.remove(key) == null) {
      return revision;
    }
    revision++;
    history.add(new Event(key, revision, null, millis()));
    notifyAll();
    return revision;
  }

  private void endLeases() {
    while (!isStopped) {
      synchronized (this) {
        long now = millis();
        if (isDown) {
          leaseEnds.replaceAll((lease, end) -> end + (now - lastLeaseCheck));
        }
        lastLeaseCheck = now;
        for (Map.Entry<Long, Long> lease : new HashMap<>(leaseEnds).entrySet()) {
          if (lease.getValue() <= now) {
            endLease(lease.getKey());
          }
        }
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean endLease(long lease) {
    if (leaseEnds.remove(lease) == null) {
      return false;
    }
    Set<String> keys = new HashSet<>();
    items.values().stream().filter(i -> i.lease() == lease).forEach(i -> keys.add(i.key()));
    keys.forEach(this::remove);
    return true;
  }

  private void handle(HttpExchange call) throws IOException {
    String from = call.getRemoteAddress().getAddress().getHostAddress();
    String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    int status = 503;
    String answer = "";
    if (call.getRequestURI().getPath().equals("/kv-watch") && silentWatches.remove(from)) {
      // Neither answered nor closed; the thread waits as long as the store runs.
      while (!isStopped) {
        try {
          Thread.sleep(1_000);
        } catch (InterruptedException e) {
          return;
        }
      }
      return;
    }
    if (!turnedAway.contains(from) && !isDown) {
      try {
        Object[] result = serve(call, body, from);
        status = (Integer) result[0];
        answer = (String) result[1];
      } catch (InterruptedException e) {
        status = 503;
      }
    }
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      call.getResponseBody().write(bytes);
    }
    call.close();
  }

  private static Map<String, String> query(HttpExchange call) {
    Map<String, String> values = new HashMap<>();
    String query = call.getRequestURI().getRawQuery();
    if (query != null) {
      for (String pair : query.split("&")) {
        int equals = pair.indexOf('=');
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private static Object[] result(int status, String body) {
    return new Object[] {status, body};
  }

  private synchronized Object[] serve(HttpExchange call, String body, String from)
      throws InterruptedException {
    String path = call.getRequestURI().getPath();
    Map<String, String> query = query(call);
    long now = millis();
    if (path.equals("/kv-key")) {
      Item item = items.get(query.get("key"));
      return item == null ? result(404, "") : result(200, json(item, ",\"as_of\":" + revision));
    }
    if (path.equals("/kv-range")) {
      StringBuilder out = new StringBuilder();
      String after = query.getOrDefault("after", "");
      long asOf = query.containsKey("stale_ok") ? staleRevision(now - staleMillis) : revision;
      for (Item item : itemsAt(asOf).values()) {
        if (item.key().startsWith(query.get("prefix")) && item.key().compareTo(after) > 0) {
          out.append(out.length() == 0 ? "" : ",").append(json(item, ""));
        }
      }
      return result(
          200, "{\"items\":[" + out + "],\"more_pages\":false,\"as_of\":" + asOf + "}");
    }
    if (path.equals("/kv-watch")) {
      long after = Long.parseLong(query.get("after"));
      long end = now + Long.parseLong(query.get("wait_ms"));
      StringBuilder out = events(query.get("prefix"), after);
      while (out.length() == 0 && now < end && !turnedAway.contains(from) && !isDown) {
        wait(Math.max(1, end - now));
        now = millis();
        out = events(query.get("prefix"), after);
      }
      return turnedAway.contains(from) || isDown
          ? result(503, "")
          : result(200, "{\"events\":[" + out + "],\"as_of\":" + revision + "}");
    }
    if (path.equals("/kv-lease")) {
      long millis = millis((String) ((Map<?, ?>) Json.parse(body)).get("ttl_time"));
      long lease = nextLease++;
      leaseTimes.put(lease, millis);
      leaseEnds.put(lease, now + millis);
      return result(200, "{\"lease\":" + lease + ",\"ttl_time\":\"" + millis + "ms\"}");
    }
    if (path.startsWith("/kv-keep/")) {
      long lease = Long.parseLong(path.substring("/kv-keep/".length()));
      if (!leaseEnds.containsKey(lease)) {
        return result(404, "");
      }
      leaseEnds.put(lease, now + leaseTimes.get(lease));
      return result(200, "{\"ttl_time\":\"" + leaseTimes.get(lease) + "ms\"}");
    }
    if (path.startsWith("/kv-lease-end/")) {
      boolean ended = endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
      return result(ended ? 200 : 404, "{}");
    }
    if (path.equals("/kv-txn")) {
      return transact((Map<?, ?>) Json.parse(body));
    }
    return result(404, "");
  }

  private long staleRevision(long atMillis) {
    long latest = 100;
    for (Event event : history) {
      latest = event.atMillis() <= atMillis ? event.revision() : latest;
    }
    return latest;
  }

  private TreeMap<String, Item> itemsAt(long asOf) {
    if (asOf == revision) {
      return items;
    }
    TreeMap<String, Item> then = new TreeMap<>();
    for (Event event : history) {
      if (event.revision() <= asOf && event.item() != null) {
        then.put(event.key(), event.item());
      } else if (event.revision() <= asOf) {
        then.remove(event.key());
      }
    }
    return then;
  }

  private Object[] transact(Map<?, ?> txn) {
    for (Object row : (List<?>) txn.get("expected_rev")) {
      Map<?, ?> expected = (Map<?, ?>) row;
      Item item = items.get((String) expected.get("key"));
      if ((item == null ? 0 : item.revision()) != ((Double) expected.get("revision")).longValue()) {
        return result(412, "{\"items\":[]}");
      }
    }
    for (Object row : (List<?>) txn.get("puts")) {
      Object lease = ((Map<?, ?>) row).get("lease");
      if (lease != null && (Double) lease != 0 && !leaseEnds.containsKey(((Double) lease).longValue())) {
        return result(404, "");
      }
    }
    for (Object row : (List<?>) txn.get("puts")) {
      Map<?, ?> put = (Map<?, ?>) row;
      Object lease = put.get("lease");
      write(
          (String) put.get("key"),
          (String) put.get("value"),
          lease == null ? 0 : ((Double) lease).longValue());
    }
    for (Object key : (List<?>) txn.get("remove")) {
      remove((String) key);
    }
    return result(200, "{\"revision\":" + revision + "}");
  }

  private static long millis(String time) {
    return time.endsWith("ms")
        ? Long.parseLong(time.substring(0, time.length() - 2))
        : Math.round(1_000 * Double.parseDouble(time.substring(0, time.length() - 1)));
  }

  private StringBuilder events(String prefix, long after) {
    StringBuilder out = new StringBuilder();
    for (Event event : history) {
      if (event.revision() > after && event.key().startsWith(prefix)) {
        out.append(out.length() == 0 ? "" : ",");
        if (event.item() == null) {
          out.append("{\"key\":").append(Json.quote(event.key())).append(",\"revision\":");
          out.append(event.revision()).append(",\"tombstone\":true}");
        } else {
          out.append(json(event.item(), ""));
        }
      }
    }
    return out;
  }

  private static String json(Item item, String more) {
    return "{\"key\":"
        + Json.quote(item.key())
        + ",\"value\":\""
        + item.value()
        + "\",\"revision\":"
        + item.revision()
        + ",\"create_rev\":"
        + item.createRev()
        + ",\"lease\":"
        + item.lease()
        + more
        + "}";
  }
}
