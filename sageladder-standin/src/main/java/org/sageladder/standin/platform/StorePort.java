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
import java.util.function.Predicate;
import org.sageladder.forward.Loop;

/** The platform's store on a port: carries calls to a {@link StoreModel}, and goes wrong. */
public final class StorePort {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long ANSWER_MILLIS = 4;
  private static final long SLOW_MILLIS = 200;
  private static final long TICK_MILLIS = 50;

  /** A write whose answer was lost is done that much later. */
  private static final long LATE_MILLIS = 3_000;

  private static final String KEEP = "/kv-keep/";
  private static final String END = "/kv-lease-end/";

  private record Reply(int status, ObjectNode body) {
    static Reply empty(int status) {
      return new Reply(status, JSON.createObjectNode());
    }
  }

  private final Loop loop;
  private final StoreModel model;
  private final Map<String, Integer> calls = new HashMap<>();
  private StoreTrouble trouble = StoreTrouble.NONE;
  private Predicate<String> troubled = caller -> true;

  private StorePort(Loop loop, StoreModel model) {
    this.loop = loop;
    this.model = model;
  }

  /** Opens the port; {@code model} is called on the loop's thread only. */
  public static StorePort open(
      Loop loop, String host, int port, StoreModel model, ServerPort.Opened opened) {
    StorePort store = new StorePort(loop, model);
    ServerPort.open(loop, host, port, (request, answer) -> store.handle(request, answer), opened);
    loop.scheduleAtFixedRate(TICK_MILLIS, store::tick);
    return store;
  }

  /** From now on calls of callers whose IP number {@code hits} go wrong in that way. */
  public void trouble(StoreTrouble kind, Predicate<String> hits) {
    if (kind == StoreTrouble.SILENT) {
      model.dropWatches();
    }
    trouble = kind;
    troubled = hits;
  }

  /** All is well again. */
  public void well() {
    trouble = StoreTrouble.NONE;
  }

  /** True where a report of the target with that IP number would be accepted now. */
  public boolean takesReports(String ip) {
    return trouble == StoreTrouble.NONE || trouble == StoreTrouble.SLOW || !troubled.test(ip);
  }

  /** Calls so far whose path begins so, refused ones among them. */
  public int calls(String path) {
    return calls.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(path))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private void tick() {
    if (trouble != StoreTrouble.SILENT) {
      model.tick();
    }
  }

  private void handle(FullHttpRequest request, ServerPort.Exchange exchange) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    byte[] body = ByteBufUtil.getBytes(request.content());
    calls.merge(query.path(), 1, Integer::sum);
    StoreTrouble kind = troubled.test(exchange.callerIp()) ? trouble : StoreTrouble.NONE;
    boolean write = query.path().equals("/kv-txn") || query.path().equals("/kv-lease");
    switch (kind) {
      case BUSY -> answer(exchange, Reply.empty(503), ANSWER_MILLIS);
      case TOO_MANY -> answer(exchange, Reply.empty(429), ANSWER_MILLIS);
      case RESETS -> exchange.reset();
      case SILENT -> exchange.keepSilent();
      case LOSES_ANSWERS -> {
        if (!query.path().equals("/kv-watch")) {
          var unused = done(query, body);
        }
        exchange.reset();
      }
      case LATE_WRITES -> {
        if (write) {
          var unused = loop.schedule(LATE_MILLIS, () -> done(query, body));
          exchange.keepSilent();
        } else {
          serve(exchange, query, body, ANSWER_MILLIS);
        }
      }
      case SLOW -> serve(exchange, query, body, SLOW_MILLIS);
      default -> serve(exchange, query, body, ANSWER_MILLIS);
    }
  }

  private void serve(
      ServerPort.Exchange exchange, QueryStringDecoder query, byte[] body, long millis) {
    if (query.path().equals("/kv-watch")) {
      model.watch(
          parameter(query, "prefix", ""),
          Long.parseLong(parameter(query, "after", "0")),
          Long.parseLong(parameter(query, "wait_ms", "0")),
          watched -> {
            if (watched instanceof StoreModel.Watched.Cut) {
              exchange.reset();
            } else {
              answer(exchange, watched(watched), millis);
            }
          });
      return;
    }
    answer(exchange, done(query, body), millis);
  }

  private void answer(ServerPort.Exchange exchange, Reply reply, long millis) {
    byte[] text = reply.body().toString().getBytes(StandardCharsets.UTF_8);
    var unused =
        loop.schedule(
            millis,
            () ->
                exchange.answer(reply.status(), Map.of("Content-Type", "application/json"), text));
  }

  private Reply done(QueryStringDecoder query, byte[] body) {
    String path = query.path();
    try {
      if (path.equals("/kv-range")) {
        String after = parameter(query, "after", "");
        return page(
            "items", model.range(parameter(query, "prefix", ""), after.isEmpty() ? null : after));
      }
      if (path.equals("/kv-lease")) {
        return leased(JSON.readTree(body));
      }
      if (path.startsWith(KEEP)) {
        boolean lives = model.renew(Long.parseLong(path.substring(KEEP.length())));
        return Reply.empty(lives ? 200 : 404);
      }
      if (path.startsWith(END)) {
        model.endLease(Long.parseLong(path.substring(END.length())));
        return Reply.empty(200);
      }
      return path.equals("/kv-txn") ? transaction(JSON.readTree(body)) : Reply.empty(404);
    } catch (JsonProcessingException e) {
      return Reply.empty(400);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException("reading from memory failed", e);
    }
  }

  private Reply leased(JsonNode body) {
    String wanted = body.path("ttl_time").asText();
    long millis = PlatformTexts.millis(wanted);
    Reply reply = Reply.empty(200);
    reply.body().put("lease", model.lease(millis)).put("ttl_time", millis + "ms");
    return reply;
  }

  private Reply transaction(JsonNode body) {
    for (JsonNode row : body.path("expected_rev")) {
      StoreModel.Item item = model.find(row.path("key").asText());
      long known = item == null ? 0 : item.revision();
      if (known != row.path("revision").asLong()) {
        return Reply.empty(412);
      }
    }
    for (JsonNode put : body.path("puts")) {
      String key = put.path("key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return Reply.empty(403);
      }
      long lease = put.path("lease").asLong();
      if (lease != 0 && !model.isLeased(lease)) {
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

  private static Reply watched(StoreModel.Watched watched) {
    if (watched instanceof StoreModel.Watched.Changes changes) {
      return page("events", changes.page());
    }
    return Reply.empty(410);
  }

  private static Reply page(String name, StoreModel.Page page) {
    Reply reply = Reply.empty(200);
    ArrayNode rows = reply.body().putArray(name);
    page.items().forEach(item -> write(rows.addObject(), item));
    reply.body().put("more_pages", page.more()).put("as_of", page.asOf());
    return reply;
  }

  private static void write(ObjectNode row, StoreModel.Item item) {
    row.put("key", item.key()).put("revision", item.revision());
    if (item.value() == null) {
      row.put("tombstone", true);
      return;
    }
    row.put("value", item.value()).put("create_rev", item.created()).put("lease", item.lease());
  }

  private static String parameter(QueryStringDecoder query, String name, String otherwise) {
    List<String> values = query.parameters().get(name);
    return values == null ? otherwise : values.get(0);
  }
}
