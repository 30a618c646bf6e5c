package org.sageladder.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.forward.Loop;

/**
 * The callers of one zone: they look up, connect, wait, and come back as the platform's pages say.
 *
 * <p>They send requests by chance with the means of their kinds; the same seed gives the same
 * requests at the same times, whatever the system answers.
 */
public final class CallersStandIn {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONNECT_MILLIS = 1_000;
  private static final long LOOK_UP_MILLIS = 1_000;
  private static final int LOOK_UP_TRIES = 3;
  private static final double LONGEST_WAIT_PART = 1.0 / 3;
  private static final long LEAST_WAIT_MILLIS = 50;
  private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /**
   * Where callers are and whom they ask.
   *
   * @param lookUps addresses of entry VMs' look-up ports, nearest first
   */
  public record Place(String zone, String region, List<String> lookUps) {}

  /** What became of one request of a caller, after all its attempts. */
  public record Ended(CallerKind kind, long askedAt, int status, long millis, String zone) {}

  /** Draws the key that a request bears; null where requests bear none. */
  @FunctionalInterface
  public interface Keys {
    /** The next request's key and who holds it. */
    Ledger.@Nullable Bearer draw(Random random);
  }

  private final class Request {
    final CallerKind kind;
    final Ledger.@Nullable Bearer bearer = keys.draw(keyRandom);
    final long askedAt;
    final String object;
    final String body;
    final Set<String> failedAt = new HashSet<>();
    int retries;
    @Nullable CallerConnection connection;
    @Nullable String id;
    Loop.@Nullable Timer end;
    boolean over;

    Request(CallerKind kind, String object, String body, int retries) {
      this.kind = kind;
      this.askedAt = loop.nowMillis();
      this.object = object;
      this.body = body;
      this.retries = retries;
    }

    long left() {
      return askedAt + kind.deadlineMillis() - loop.nowMillis();
    }
  }

  private final Loop loop;
  private final Place place;
  private final Ledger ledger;
  private final Function<String, Optional<RouteRule>> routes;
  private final Consumer<Ended> ended;
  private final Random random;
  private final Map<String, Deque<CallerConnection>> kept = new HashMap<>();
  private List<String> addresses = new ArrayList<>();
  private long addressesUntil = Long.MIN_VALUE;
  private double pace = 1;
  private Keys keys = random -> null;
  private final Random keyRandom;
  private double leaveShare;
  private long leaveAfterMillis;
  private boolean open = true;
  private long lastId;

  private CallersStandIn(
      Loop loop,
      Place place,
      Ledger ledger,
      Function<String, Optional<RouteRule>> routes,
      long seed,
      Consumer<Ended> ended) {
    this.loop = loop;
    this.place = place;
    this.ledger = ledger;
    this.routes = routes;
    this.random = new Random(seed ^ place.zone().hashCode());
    this.ended = ended;
    this.keyRandom = new Random(seed + place.zone().hashCode());
  }

  /**
   * Starts callers.
   *
   * @param share part of each kind's requests that these callers send
   * @param routes routes by name, as the newest configuration has them
   * @param ended told of each request's end
   */
  public static CallersStandIn start(
      Loop loop,
      Place place,
      List<CallerKind> kinds,
      double share,
      Ledger ledger,
      Function<String, Optional<RouteRule>> routes,
      long seed,
      Consumer<Ended> ended) {
    CallersStandIn callers = new CallersStandIn(loop, place, ledger, routes, seed, ended);
    kinds.forEach(kind -> callers.later(kind, share));
    return callers;
  }

  /** Sends a further kind of request from now on; {@code share} is these callers' part of it. */
  public void alsoSend(CallerKind kind, double share) {
    later(kind, share);
  }

  /** Sends requests with keys from now on. */
  public void bear(Keys drawn) {
    keys = drawn;
  }

  /** Sends no further requests. */
  public void stop() {
    open = false;
  }

  /** Sends that many times as many requests from now on. */
  public void pace(double factor) {
    pace = factor;
  }

  /** That share of the callers leaves after {@code millis} without an answer. */
  public void leave(double share, long millis) {
    leaveShare = share;
    leaveAfterMillis = millis;
  }

  private void later(CallerKind kind, double share) {
    double mean = 1_000 / (kind.perSecond() * share * pace);
    long wait = Math.round(-Math.log(1 - random.nextDouble()) * mean);
    var unused =
        loop.schedule(
            wait,
            () -> {
              if (open) {
                ask(kind);
                later(kind, share);
              }
            });
  }

  private void ask(CallerKind kind) {
    begin(request(kind));
    if (kind.habit() == CallerKind.Habit.PIPELINED) {
      begin(request(kind));
    }
  }

  private Request request(CallerKind kind) {
    String object = "o" + random.nextInt(kind.objects());
    String body = kind.idempotent() ? "" : "body of " + object + ' ' + "x".repeat(200);
    Request request = new Request(kind, object, body, 1);
    if (random.nextDouble() < leaveShare) {
      var unused = loop.schedule(leaveAfterMillis, () -> end(request, 0));
    }
    return request;
  }

  private void begin(Request request) {
    request.end = loop.schedule(request.left(), () -> end(request, 0));
    attempt(request);
  }

  private void attempt(Request request) {
    if (request.over) {
      return;
    }
    if (loop.nowMillis() < addressesUntil && !addresses.isEmpty()) {
      connect(request);
      return;
    }
    lookUp(request, 0);
  }

  private void lookUp(Request request, int tries) {
    if (tries >= Math.min(LOOK_UP_TRIES, place.lookUps().size())) {
      if (addresses.isEmpty()) {
        end(request, 0);
      } else {
        connect(request);
      }
      return;
    }
    String at = place.lookUps().get(tries);
    boolean[] done = {false};
    Runnable next =
        () -> {
          if (!done[0]) {
            done[0] = true;
            lookUp(request, tries + 1);
          }
        };
    var unused = loop.schedule(LOOK_UP_MILLIS, next);
    CallerConnection.open(
        loop,
        host(at),
        port(at),
        CONNECT_MILLIS,
        connection ->
            connection.send(
                "GET",
                "/resolve?name=any&region=" + place.region() + "&zone=" + place.zone(),
                Map.of("Host", at, "Connection", "close"),
                "",
                reply -> {
                  if (!done[0] && take(reply)) {
                    done[0] = true;
                    connect(request);
                  } else {
                    next.run();
                  }
                }),
        cause -> next.run());
  }

  private boolean take(CallerConnection.Reply reply) {
    if (!(reply instanceof CallerConnection.Reply.Whole whole) || whole.status() != 200) {
      return false;
    }
    try {
      JsonNode body = JSON.readTree(whole.body());
      List<String> named = new ArrayList<>();
      body.path("addresses").forEach(address -> named.add(address.asText()));
      addresses = named;
      addressesUntil = loop.nowMillis() + PlatformTexts.millis(body.path("ttl").asText("1s"));
      kept.keySet().retainAll(named);
      return !named.isEmpty();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private void connect(Request request) {
    if (request.over) {
      return;
    }
    List<String> choice =
        addresses.stream().filter(address -> !request.failedAt.contains(address)).toList();
    if (choice.isEmpty()) {
      choice = addresses;
    }
    String address = choice.get(random.nextInt(choice.size()));
    CallerConnection known = keptFor(request.kind, address);
    if (known != null) {
      send(request, address, known);
      return;
    }
    CallerConnection.open(
        loop,
        host(address),
        port(address),
        CONNECT_MILLIS,
        connection -> send(request, address, connection),
        cause -> {
          request.failedAt.add(address);
          again(request, LEAST_WAIT_MILLIS, 0);
        });
  }

  private @Nullable CallerConnection keptFor(CallerKind kind, String address) {
    Deque<CallerConnection> known = kept.getOrDefault(address, new ArrayDeque<>());
    while (kind.habit() != CallerKind.Habit.FRESH && !known.isEmpty()) {
      CallerConnection last = known.removeLast();
      if (last.isUsable()) {
        return last;
      }
    }
    return null;
  }

  private void send(Request request, String address, CallerConnection connection) {
    Optional<RouteRule> route = routes.apply(request.kind.route());
    if (request.over || route.isEmpty()) {
      connection.leave();
      return;
    }
    lastId++;
    String id = place.zone() + "-" + lastId;
    String path = request.kind.prefix() + request.object + '/' + request.kind.workMillis();
    request.connection = connection;
    request.id = id;
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", request.kind.host());
    headers.put("Request-Id", id);
    headers.put("Cookie", "Affinity-Key=" + request.object);
    headers.put("Request-Deadline", Long.toString(request.left()));
    Ledger.Bearer bearer = request.bearer;
    if (bearer != null) {
      headers.put("Authorization", "Token " + bearer.key());
      ledger.bears(id, bearer);
    }
    ledger.asked(
        new Ledger.Asked(
            id,
            route.get(),
            path,
            request.body,
            place.region(),
            host(address),
            loop.nowMillis(),
            request.left()));
    connection.send(
        request.kind.idempotent() ? "GET" : "POST",
        path,
        headers,
        request.body,
        reply -> replied(request, address, connection, id, reply));
  }

  private void replied(
      Request request,
      String address,
      CallerConnection connection,
      String id,
      CallerConnection.Reply reply) {
    if (reply instanceof CallerConnection.Reply.Broken) {
      ledger.answered(new Ledger.Answered(id, 0, "", false, null, loop.nowMillis()));
      request.failedAt.add(address);
      again(request, LEAST_WAIT_MILLIS, 0);
      return;
    }
    CallerConnection.Reply.Whole whole = (CallerConnection.Reply.Whole) reply;
    HttpHeaders headers = whole.headers();
    ledger.answered(
        new Ledger.Answered(
            id,
            whole.status(),
            whole.body(),
            headers.contains("Server-Seal"),
            headers.get("Request-Id"),
            loop.nowMillis()));
    if (request.kind.habit() != CallerKind.Habit.FRESH && connection.isUsable()) {
      kept.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(connection);
    } else if (request.kind.habit() == CallerKind.Habit.FRESH) {
      connection.leave();
    }
    if (whole.status() < 400 || FINAL.contains(whole.status())) {
      end(request, whole.status());
      return;
    }
    long told = Math.round(1_000 * Double.parseDouble(headers.get("Retry-After", "0")));
    again(request, Math.max(LEAST_WAIT_MILLIS, told), whole.status());
  }

  /** Comes back after a wait, if the kind of request and its time allow it. */
  private void again(Request request, long waitMillis, int status) {
    boolean may = request.kind.idempotent() || NOT_RUN.contains(status);
    if (request.over || !may || request.retries == 0) {
      end(request, status);
      return;
    }
    request.retries--;
    long wait = Math.min(waitMillis, Math.round(request.left() * LONGEST_WAIT_PART));
    var unused = loop.schedule(wait, () -> attempt(request));
  }

  private void end(Request request, int status) {
    if (request.over) {
      return;
    }
    request.over = true;
    Loop.Timer timer = request.end;
    if (timer != null) {
      timer.cancel();
    }
    CallerConnection connection = request.connection;
    String id = request.id;
    if (connection != null && id != null && ledger.answer(id).isEmpty()) {
      ledger.callerLeft(id, loop.nowMillis());
      connection.leave();
    }
    ended.accept(
        new Ended(
            request.kind,
            request.askedAt,
            status,
            loop.nowMillis() - request.askedAt,
            place.zone()));
  }

  private static String host(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }
}
