package org.sageladder.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sageladder.forward.Loop;

/** Serves a {@link StoreModel} over the platform's HTTP protocol, with fault injection. */
public final class StorePort {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long ANSWER_DELAY_MILLIS = 4;
  private static final long SLOW_ANSWER_DELAY_MILLIS = 200;
  private static final long TICK_MILLIS = 50;

  /** Delay after which an unanswered write takes effect in {@link StoreFaultMode#LATE_WRITES}. */
  private static final long LATE_WRITE_DELAY_MILLIS = 3_000;

  private static final String KEEP_ALIVE_PATH = "/kv-keep/";
  private static final String LEASE_END_PATH = "/kv-lease-end/";

  private record Reply(int status, ObjectNode body) {
    static Reply empty(int status) {
      return new Reply(status, JSON.createObjectNode());
    }
  }

  private final Loop loop;
  private final StoreModel model;
  private final Map<String, Integer> callCounts = new HashMap<>();
  private StoreFaultMode faultMode = StoreFaultMode.NONE;
  private Predicate<String> isAffected = caller -> true;
  private final Map<String, StoreFaultMode> refusedCallers = new HashMap<>();
  private LongSupplier replicaLagMillis = () -> 0;

  private StorePort(Loop loop, StoreModel model) {
    this.loop = loop;
    this.model = model;
  }

  /** Opens the port; {@code model} is only called on the loop's thread. */
  public static StorePort open(
      Loop loop, String host, int port, StoreModel model, ServerPort.OpenListener onOpen) {
    StorePort store = new StorePort(loop, model);
    ServerPort.open(
        loop, host, port, (request, exchange) -> store.handle(request, exchange), onOpen);
    loop.scheduleAtFixedRate(TICK_MILLIS, store::tick);
    return store;
  }

  /** Injects a fault into calls from IP addresses that {@code affects} accepts. */
  public void setFault(StoreFaultMode mode, Predicate<String> affects) {
    if (mode == StoreFaultMode.SILENT) {
      model.dropWatches();
    }
    faultMode = mode;
    isAffected = affects;
  }

  /**
   * Injects a fault into the calls from one IP address, whatever other fault there is. Its watches
   * that wait now are answered as usual.
   */
  public void refuse(String callerIp, StoreFaultMode mode) {
    refusedCallers.put(callerIp, mode);
  }

  /** Ends the fault of that IP address. */
  public void acceptAgain(String callerIp) {
    refusedCallers.remove(callerIp);
  }

  /** Never answers the watches that wait now; later calls are answered. */
  public void dropWatches() {
    model.dropWatches();
  }

  /** Ends the fault. */
  public void clearFault() {
    faultMode = StoreFaultMode.NONE;
  }

  /** Sets how far the replica is behind that serves the next read that may be stale. */
  public void setReplicaLag(LongSupplier lagMillis) {
    replicaLagMillis = lagMillis;
  }

  /** Returns whether a report from the target at that IP address would be accepted now. */
  public boolean acceptsReports(String ip) {
    return faultMode == StoreFaultMode.NONE
        || faultMode == StoreFaultMode.SLOW
        || !isAffected.test(ip);
  }

  /**
   * Returns the number of calls so far by kind, including refused ones: the first segment of their
   * path, followed by {@code ?stale_ok} for reads that may be stale.
   */
  public Map<String, Integer> callCountsByKind() {
    Map<String, Integer> counts = new TreeMap<>();
    callCounts.forEach((path, count) -> counts.merge(path.split("/")[1], count, Integer::sum));
    return counts;
  }

  /** Returns the number of calls so far with that path prefix, including refused ones. */
  public int callCount(String pathPrefix) {
    return callCounts.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(pathPrefix))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private void tick() {
    if (faultMode != StoreFaultMode.SILENT) {
      model.expireDue();
    }
  }

  private void handle(FullHttpRequest request, ServerPort.Exchange exchange) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    byte[] body = ByteBufUtil.getBytes(request.content());
    callCounts.merge(query.path() + (mayBeStale(query) ? "?stale_ok" : ""), 1, Integer::sum);
    StoreFaultMode common = isAffected.test(exchange.callerIp()) ? faultMode : StoreFaultMode.NONE;
    StoreFaultMode mode = refusedCallers.getOrDefault(exchange.callerIp(), common);
    boolean isWrite = query.path().equals("/kv-txn") || query.path().equals("/kv-lease");
    switch (mode) {
      case BUSY -> answer(exchange, Reply.empty(503), ANSWER_DELAY_MILLIS);
      case TOO_MANY -> answer(exchange, Reply.empty(429), ANSWER_DELAY_MILLIS);
      case RESETS -> exchange.reset();
      case SILENT -> exchange.stopReading();
      case SILENT_WATCHES -> {
        if (query.path().equals("/kv-watch")) {
          exchange.stopReading();
        } else {
          serve(exchange, query, body, ANSWER_DELAY_MILLIS);
        }
      }
      case LOSES_ANSWERS -> {
        if (!query.path().equals("/kv-watch")) {
          var unused = execute(query, body);
        }
        exchange.reset();
      }
      case LATE_WRITES -> {
        if (isWrite) {
          var unused = loop.schedule(LATE_WRITE_DELAY_MILLIS, () -> execute(query, body));
          exchange.stopReading();
        } else {
          serve(exchange, query, body, ANSWER_DELAY_MILLIS);
        }
      }
      case SLOW -> serve(exchange, query, body, SLOW_ANSWER_DELAY_MILLIS);
      default -> serve(exchange, query, body, ANSWER_DELAY_MILLIS);
    }
  }

  private void serve(
      ServerPort.Exchange exchange, QueryStringDecoder query, byte[] body, long delayMillis) {
    if (query.path().equals("/kv-watch")) {
      model.watch(
          parameter(query, "prefix", ""),
          Long.parseLong(parameter(query, "after", "0")),
          Long.parseLong(parameter(query, "wait_ms", "0")),
          watched -> {
            if (watched instanceof StoreModel.WatchResult.Aborted) {
              exchange.reset();
            } else {
              answer(exchange, watchReply(watched), delayMillis);
            }
          });
      return;
    }
    answer(exchange, execute(query, body), delayMillis);
  }

  private void answer(ServerPort.Exchange exchange, Reply reply, long delayMillis) {
    byte[] text = reply.body().toString().getBytes(StandardCharsets.UTF_8);
    var unused =
        loop.schedule(
            delayMillis,
            () ->
                exchange.answer(reply.status(), Map.of("Content-Type", "application/json"), text));
  }

  private Reply execute(QueryStringDecoder query, byte[] body) {
    String path = query.path();
    try {
      if (path.equals("/kv-range")) {
        String afterKey = parameter(query, "after", "");
        String prefix = parameter(query, "prefix", "");
        return pageReply("items", readPage(query, prefix, afterKey.isEmpty() ? null : afterKey));
      }
      if (path.equals("/kv-key")) {
        String key = parameter(query, "key", "");
        return itemReply(key, readPage(query, key, null));
      }
      if (path.equals("/kv-lease")) {
        return grantLease(JSON.readTree(body));
      }
      if (path.startsWith(KEEP_ALIVE_PATH)) {
        boolean isAlive =
            model.renewLease(Long.parseLong(path.substring(KEEP_ALIVE_PATH.length())));
        return Reply.empty(isAlive ? 200 : 404);
      }
      if (path.startsWith(LEASE_END_PATH)) {
        model.revokeLease(Long.parseLong(path.substring(LEASE_END_PATH.length())));
        return Reply.empty(200);
      }
      return path.equals("/kv-txn") ? transaction(JSON.readTree(body)) : Reply.empty(404);
    } catch (JsonProcessingException e) {
      return Reply.empty(400);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException("reading from memory failed", e);
    }
  }

  private static boolean mayBeStale(QueryStringDecoder query) {
    return parameter(query, "stale_ok", "0").equals("1");
  }

  private StoreModel.Page readPage(
      QueryStringDecoder query, String prefix, @Nullable String afterKey) {
    long lagMillis = mayBeStale(query) ? replicaLagMillis.getAsLong() : 0;
    return lagMillis == 0
        ? model.range(prefix, afterKey)
        : model.staleRange(prefix, afterKey, lagMillis);
  }

  private Reply grantLease(JsonNode body) {
    String ttl = body.path("ttl_time").asText();
    long millis = PlatformTexts.parseMillis(ttl);
    Reply reply = Reply.empty(200);
    reply.body().put("lease", model.grantLease(millis)).put("ttl_time", millis + "ms");
    return reply;
  }

  private Reply transaction(JsonNode body) {
    for (JsonNode row : body.path("expected_rev")) {
      StoreModel.Item item = model.find(row.path("key").asText());
      long current = item == null ? 0 : item.revision();
      if (current != row.path("revision").asLong()) {
        return Reply.empty(412);
      }
    }
    for (JsonNode put : body.path("puts")) {
      String key = put.path("key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return Reply.empty(403);
      }
      long lease = put.path("lease").asLong();
      if (lease != 0 && !model.isLeaseAlive(lease)) {
        return Reply.empty(404);
      }
    }
    for (JsonNode put : body.path("puts")) {
      var unused =
          model.put(
              put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
    }
    body.path("remove").forEach(key -> model.remove(key.asText()));
    Reply reply = Reply.empty(200);
    reply.body().put("revision", model.revision());
    return reply;
  }

  private static Reply watchReply(StoreModel.WatchResult watched) {
    if (watched instanceof StoreModel.WatchResult.Changes changes) {
      return pageReply("events", changes.page());
    }
    return Reply.empty(410);
  }

  private static Reply itemReply(String key, StoreModel.Page page) {
    StoreModel.Item first = page.items().isEmpty() ? null : page.items().get(0);
    if (first == null || !first.key().equals(key)) {
      return Reply.empty(404);
    }
    Reply reply = Reply.empty(200);
    writeItem(reply.body(), first);
    reply.body().put("as_of", page.asOfRevision());
    return reply;
  }

  private static Reply pageReply(String name, StoreModel.Page page) {
    Reply reply = Reply.empty(200);
    ArrayNode rows = reply.body().putArray(name);
    page.items().forEach(item -> writeItem(rows.addObject(), item));
    reply.body().put("more_pages", page.hasMore()).put("as_of", page.asOfRevision());
    return reply;
  }

  private static void writeItem(ObjectNode row, StoreModel.Item item) {
    row.put("key", item.key()).put("revision", item.revision());
    if (item.value() == null) {
      row.put("tombstone", true);
      return;
    }
    row.put("value", item.value())
        .put("create_rev", item.createdRevision())
        .put("lease", item.leaseId());
  }

  private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
    List<String> values = query.parameters().get(name);
    return values == null ? defaultValue : values.get(0);
  }
}
