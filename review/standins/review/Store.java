package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, by the pages: ranges, watches, leases and transactions. */
final class Store implements AutoCloseable {
  private static final Pattern PUT =
      Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)");
  private static final Pattern TTL = Pattern.compile("\"ttl_time\":\"(\\d+)ms\"");
  private static final int PAGE_ITEMS = 50;

  private record Item(String value, long revision, long created, long lease) {}

  private record Event(String key, long revision, String json, long atMillis, Item item) {}

  private static final class Lease {
    long millis;
    long endsAt;
  }

  private final Server server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long nextLease = 1;
  private long laterPagesAgeMillis;

  Store(String host, int port) throws IOException {
    server = new Server(host, port, this::handle);
    Thread thread = new Thread(this::endLeases, "leases");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return server.address();
  }

  /** Writes a value, as the operator and the backends do. */
  synchronized void put(String key, String value) {
    put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      addEvent(
          key, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"tombstone\":true}", null);
    }
  }

  /**
   * Answers stale reads of a page after the first one with the state of so long ago, as a replica
   * does that is behind the one that served the first page.
   */
  synchronized void setLaterPagesAge(long millis) {
    laterPagesAgeMillis = millis;
  }

  /** Keys that begin with {@code prefix}. */
  synchronized List<String> keys(String prefix) {
    return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private void put(String key, String base64, long lease) {
    revision++;
    Item previous = items.get(key);
    Item item = new Item(base64, revision, previous == null ? revision : previous.created(), lease);
    items.put(key, item);
    addEvent(key, json(key, item), item);
  }

  private void addEvent(String key, String json, Item item) {
    events.add(new Event(key, revision, json, System.currentTimeMillis(), item));
    notifyAll();
  }

  private static String json(String key, Item item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":"
        + item.revision() + ",\"create_rev\":" + item.created() + ",\"lease\":" + item.lease()
        + "}";
  }

  private boolean handle(Http.Head head, Http.Body body, OutputStream out, Socket connection)
      throws IOException, InterruptedException {
    String[] target = head.target().split("\\?", 2);
    Map<String, String> query = query(target.length > 1 ? target[1] : "");
    String text = new String(body.bytes(), StandardCharsets.UTF_8);
    if (target[0].equals("/kv-range")) {
      boolean mayBeStale = "1".equals(query.get("stale_ok"));
      reply(out, 200, range(query.getOrDefault("prefix", ""), query.get("after"), mayBeStale));
    } else if (target[0].equals("/kv-key")) {
      String item = one(query.getOrDefault("key", ""));
      reply(out, item == null ? 404 : 200, item == null ? "{}" : item);
    } else if (target[0].equals("/kv-watch")) {
      long after = Long.parseLong(query.get("after"));
      long waitMillis = Long.parseLong(query.get("wait_ms"));
      reply(out, 200, watch(query.getOrDefault("prefix", ""), after, waitMillis));
    } else if (target[0].equals("/kv-lease")) {
      Matcher ttl = TTL.matcher(text);
      reply(out, 200, grant(ttl.find() ? Long.parseLong(ttl.group(1)) : 3000));
    } else if (target[0].startsWith("/kv-keep/")) {
      boolean kept = keep(Long.parseLong(target[0].substring("/kv-keep/".length())));
      reply(out, kept ? 200 : 404, "{}");
    } else if (target[0].startsWith("/kv-lease-end/")) {
      end(Long.parseLong(target[0].substring("/kv-lease-end/".length())));
      reply(out, 200, "{}");
    } else if (target[0].equals("/kv-txn")) {
      long written = transact(text);
      reply(out, written < 0 ? 404 : 200, "{\"revision\":" + written + "}");
    } else {
      reply(out, 400, "{}");
    }
    return true;
  }

  private static void reply(OutputStream out, int status, String json) throws IOException {
    Server.respond(
        out,
        status,
        status == 200 ? "OK" : "Not OK",
        "Content-Type: application/json\r\n",
        json.getBytes(StandardCharsets.UTF_8));
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      String[] parts = pair.split("=", 2);
      values.put(
          parts[0],
          parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
    }
    return values;
  }

  private synchronized String one(String key) {
    Item item = items.get(key);
    return item == null ? null : json(key, item);
  }

  private synchronized String range(String prefix, String after, boolean mayBeStale) {
    TreeMap<String, Item> served = items;
    long asOf = revision;
    if (mayBeStale && after != null && laterPagesAgeMillis > 0) {
      served = new TreeMap<>();
      long until = System.currentTimeMillis() - laterPagesAgeMillis;
      for (Event event : events) {
        if (event.atMillis() > until) {
          break;
        }
        asOf = event.revision();
        if (event.item() == null) {
          served.remove(event.key());
        } else {
          served.put(event.key(), event.item());
        }
      }
    }
    List<String> page = new ArrayList<>();
    boolean hasMore = false;
    for (Map.Entry<String, Item> entry : served.entrySet()) {
      String key = entry.getKey();
      if (!key.startsWith(prefix) || (after != null && key.compareTo(after) <= 0)) {
        continue;
      }
      if (page.size() == PAGE_ITEMS) {
        hasMore = true;
        break;
      }
      page.add(json(key, entry.getValue()));
    }
    return "{\"items\":[" + String.join(",", page) + "],\"more_pages\":" + hasMore + ",\"as_of\":"
        + asOf + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long endsAt = System.currentTimeMillis() + waitMillis;
    while (true) {
      List<String> found = new ArrayList<>();
      for (Event event : events) {
        if (event.revision() > after && event.key().startsWith(prefix)) {
          found.add(event.json());
        }
      }
      long leftMillis = endsAt - System.currentTimeMillis();
      if (!found.isEmpty() || leftMillis <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"as_of\":" + revision + "}";
      }
      wait(leftMillis);
    }
  }

  private synchronized String grant(long millis) {
    Lease lease = new Lease();
    lease.millis = millis;
    lease.endsAt = System.currentTimeMillis() + millis;
    leases.put(nextLease, lease);
    return "{\"lease\":" + nextLease++ + ",\"ttl_time\":\"" + millis + "ms\"}";
  }

  private synchronized boolean keep(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    lease.endsAt = System.currentTimeMillis() + lease.millis;
    return true;
  }

  private synchronized void end(long id) {
    leases.remove(id);
    List<String> ended = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease() == id) {
            ended.add(key);
          }
        });
    ended.forEach(this::remove);
  }

  private synchronized long transact(String text) {
    Matcher put = PUT.matcher(text);
    while (put.find()) {
      long lease = Long.parseLong(put.group(3));
      if (lease != 0 && !leases.containsKey(lease)) {
        return -1;
      }
      put(put.group(1), put.group(2), lease);
    }
    return revision;
  }

  private void endLeases() {
    while (true) {
      try {
        Thread.sleep(100);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = System.currentTimeMillis();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (lease.endsAt < now) {
                ended.add(id);
              }
            });
        ended.forEach(this::end);
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
