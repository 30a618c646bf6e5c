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
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long LOOK_UP_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_LOOK_UP_ATTEMPTS = 3;
  private static final double MAX_BACKOFF_FRACTION = 1.0 / 3;
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final Set<Integer> FINAL_STATUSES = Set.of(400, 401, 404, 413, 431);
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /**
   * Where callers are and whom they ask.
   *
   * @param lookUpAddresses addresses of entry VMs' look-up ports, nearest first
   */
  public record Location(String zone, String region, List<String> lookUpAddresses) {}

  /** What became of one request of a caller, after all its attempts. */
  public record CompletedRequest(
      RequestProfile profile, long startedAtMillis, int status, long durationMillis, String zone) {}

  /** Draws the key that a request bears; null where requests bear none. */
  @FunctionalInterface
  public interface CredentialSource {
    /** The next request's key and who holds it. */
    Ledger.@Nullable Credential drawCredential(Random random);
  }

  private final class Request {
    final RequestProfile profile;
    final Ledger.@Nullable Credential credential =
        credentialSource.drawCredential(credentialRandom);
    final long startedAtMillis;
    final String object;
    final String body;
    final Set<String> failedAddresses = new HashSet<>();
    int remainingRetries;
    @Nullable CallerConnection connection;
    @Nullable String id;
    Loop.@Nullable Timer deadlineTimer;
    boolean isFinished;

    Request(RequestProfile profile, String object, String body, int remainingRetries) {
      this.profile = profile;
      this.startedAtMillis = loop.nowMillis();
      this.object = object;
      this.body = body;
      this.remainingRetries = remainingRetries;
    }

    long remainingMillis() {
      return startedAtMillis + profile.deadlineMillis() - loop.nowMillis();
    }
  }

  private final Loop loop;
  private final Location location;
  private final Ledger ledger;
  private final Function<String, Optional<RouteRule>> currentRoutes;
  private final Consumer<CompletedRequest> onCompletion;
  private final Random random;
  private final Map<String, Deque<CallerConnection>> idleConnections = new HashMap<>();
  private List<String> addresses = new ArrayList<>();
  private long addressesExpireAtMillis = Long.MIN_VALUE;
  private double rateFactor = 1;
  private CredentialSource credentialSource = random -> null;
  private final Random credentialRandom;
  private double abandonFraction;
  private long abandonAfterMillis;
  private boolean isSending = true;
  private long lastRequestNumber;

  private CallersStandIn(
      Loop loop,
      Location location,
      Ledger ledger,
      Function<String, Optional<RouteRule>> currentRoutes,
      long seed,
      Consumer<CompletedRequest> onCompletion) {
    this.loop = loop;
    this.location = location;
    this.ledger = ledger;
    this.currentRoutes = currentRoutes;
    this.random = new Random(seed ^ location.zone().hashCode());
    this.onCompletion = onCompletion;
    this.credentialRandom = new Random(seed + location.zone().hashCode());
  }

  /**
   * Starts callers.
   *
   * @param fraction part of each kind's requests that these callers send
   * @param currentRoutes routes by name, as the newest configuration has them
   * @param onCompletion told of each request's end
   */
  public static CallersStandIn start(
      Loop loop,
      Location location,
      List<RequestProfile> profiles,
      double fraction,
      Ledger ledger,
      Function<String, Optional<RouteRule>> currentRoutes,
      long seed,
      Consumer<CompletedRequest> onCompletion) {
    CallersStandIn callers =
        new CallersStandIn(loop, location, ledger, currentRoutes, seed, onCompletion);
    profiles.forEach(kind -> callers.scheduleNext(kind, fraction));
    return callers;
  }

  /** Sends a further kind of request from now on; {@code share} is these callers' part of it. */
  public void addProfile(RequestProfile profile, double fraction) {
    scheduleNext(profile, fraction);
  }

  /** Sends requests with keys from now on. */
  public void setCredentialSource(CredentialSource source) {
    credentialSource = source;
  }

  /** Sends no further requests. */
  public void stop() {
    isSending = false;
  }

  /** Sends that many times as many requests from now on. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** That share of the callers leaves after {@code millis} without an answer. */
  public void setAbandonment(double fraction, long afterMillis) {
    abandonFraction = fraction;
    abandonAfterMillis = afterMillis;
  }

  private void scheduleNext(RequestProfile profile, double fraction) {
    double mean = 1_000 / (profile.requestsPerSecond() * fraction * rateFactor);
    long wait = Math.round(-Math.log(1 - random.nextDouble()) * mean);
    var unused =
        loop.schedule(
            wait,
            () -> {
              if (isSending) {
                sendNext(profile);
                scheduleNext(profile, fraction);
              }
            });
  }

  private void sendNext(RequestProfile profile) {
    startRequest(newRequest(profile));
    if (profile.connectionUse() == RequestProfile.ConnectionUse.PIPELINED) {
      startRequest(newRequest(profile));
    }
  }

  private Request newRequest(RequestProfile profile) {
    String object = "o" + random.nextInt(profile.objectCount());
    String body = profile.idempotent() ? "" : "body of " + object + ' ' + "x".repeat(200);
    Request request = new Request(profile, object, body, 1);
    if (random.nextDouble() < abandonFraction) {
      var unused = loop.schedule(abandonAfterMillis, () -> finish(request, 0));
    }
    return request;
  }

  private void startRequest(Request request) {
    request.deadlineTimer = loop.schedule(request.remainingMillis(), () -> finish(request, 0));
    startAttempt(request);
  }

  private void startAttempt(Request request) {
    if (request.isFinished) {
      return;
    }
    if (loop.nowMillis() < addressesExpireAtMillis && !addresses.isEmpty()) {
      connect(request);
      return;
    }
    lookUp(request, 0);
  }

  private void lookUp(Request request, int attempts) {
    if (attempts >= Math.min(MAX_LOOK_UP_ATTEMPTS, location.lookUpAddresses().size())) {
      if (addresses.isEmpty()) {
        finish(request, 0);
      } else {
        connect(request);
      }
      return;
    }
    String at = location.lookUpAddresses().get(attempts);
    boolean[] done = {false};
    Runnable next =
        () -> {
          if (!done[0]) {
            done[0] = true;
            lookUp(request, attempts + 1);
          }
        };
    var unused = loop.schedule(LOOK_UP_TIMEOUT_MILLIS, next);
    CallerConnection.open(
        loop,
        host(at),
        port(at),
        CONNECT_TIMEOUT_MILLIS,
        connection ->
            connection.send(
                "GET",
                "/resolve?name=any&region=" + location.region() + "&zone=" + location.zone(),
                Map.of("Host", at, "Connection", "close"),
                "",
                reply -> {
                  if (!done[0] && acceptAddresses(reply)) {
                    done[0] = true;
                    connect(request);
                  } else {
                    next.run();
                  }
                }),
        cause -> next.run());
  }

  private boolean acceptAddresses(CallerConnection.Reply reply) {
    if (!(reply instanceof CallerConnection.Reply.Complete whole) || whole.status() != 200) {
      return false;
    }
    try {
      JsonNode body = JSON.readTree(whole.body());
      List<String> named = new ArrayList<>();
      body.path("addresses").forEach(address -> named.add(address.asText()));
      addresses = named;
      addressesExpireAtMillis =
          loop.nowMillis() + PlatformTexts.parseMillis(body.path("ttl").asText("1s"));
      idleConnections.keySet().retainAll(named);
      return !named.isEmpty();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private void connect(Request request) {
    if (request.isFinished) {
      return;
    }
    List<String> choice =
        addresses.stream().filter(address -> !request.failedAddresses.contains(address)).toList();
    if (choice.isEmpty()) {
      choice = addresses;
    }
    String address = choice.get(random.nextInt(choice.size()));
    CallerConnection known = findIdleConnection(request.profile, address);
    if (known != null) {
      sendRequest(request, address, known);
      return;
    }
    CallerConnection.open(
        loop,
        host(address),
        port(address),
        CONNECT_TIMEOUT_MILLIS,
        connection -> sendRequest(request, address, connection),
        cause -> {
          request.failedAddresses.add(address);
          retry(request, MIN_BACKOFF_MILLIS, 0);
        });
  }

  private @Nullable CallerConnection findIdleConnection(RequestProfile profile, String address) {
    Deque<CallerConnection> known = idleConnections.getOrDefault(address, new ArrayDeque<>());
    while (profile.connectionUse() != RequestProfile.ConnectionUse.FRESH && !known.isEmpty()) {
      CallerConnection last = known.removeLast();
      if (last.isUsable()) {
        return last;
      }
    }
    return null;
  }

  private void sendRequest(Request request, String address, CallerConnection connection) {
    Optional<RouteRule> route = currentRoutes.apply(request.profile.route());
    if (request.isFinished || route.isEmpty()) {
      connection.abandon();
      return;
    }
    lastRequestNumber++;
    String id = location.zone() + "-" + lastRequestNumber;
    String path =
        request.profile.prefix() + request.object + '/' + request.profile.meanServiceMillis();
    request.connection = connection;
    request.id = id;
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", request.profile.host());
    headers.put("Request-Id", id);
    headers.put("Cookie", "Affinity-Key=" + request.object);
    headers.put("Request-Deadline", Long.toString(request.remainingMillis()));
    Ledger.Credential bearer = request.credential;
    if (bearer != null) {
      headers.put("Authorization", "Token " + bearer.key());
      ledger.recordCredential(id, bearer);
    }
    ledger.attempt(
        new Ledger.Attempt(
            id,
            route.get(),
            path,
            request.body,
            location.region(),
            host(address),
            loop.nowMillis(),
            request.remainingMillis()));
    connection.send(
        request.profile.idempotent() ? "GET" : "POST",
        path,
        headers,
        request.body,
        reply -> onReply(request, address, connection, id, reply));
  }

  private void onReply(
      Request request,
      String address,
      CallerConnection connection,
      String id,
      CallerConnection.Reply reply) {
    if (reply instanceof CallerConnection.Reply.Failed) {
      ledger.recordAnswer(new Ledger.Answered(id, 0, "", false, null, loop.nowMillis()));
      request.failedAddresses.add(address);
      retry(request, MIN_BACKOFF_MILLIS, 0);
      return;
    }
    CallerConnection.Reply.Complete whole = (CallerConnection.Reply.Complete) reply;
    HttpHeaders headers = whole.headers();
    ledger.recordAnswer(
        new Ledger.Answered(
            id,
            whole.status(),
            whole.body(),
            headers.contains("Server-Seal"),
            headers.get("Request-Id"),
            loop.nowMillis()));
    if (request.profile.connectionUse() != RequestProfile.ConnectionUse.FRESH
        && connection.isUsable()) {
      idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(connection);
    } else if (request.profile.connectionUse() == RequestProfile.ConnectionUse.FRESH) {
      connection.abandon();
    }
    if (whole.status() < 400 || FINAL_STATUSES.contains(whole.status())) {
      finish(request, whole.status());
      return;
    }
    long told = Math.round(1_000 * Double.parseDouble(headers.get("Retry-After", "0")));
    retry(request, Math.max(MIN_BACKOFF_MILLIS, told), whole.status());
  }

  /** Comes back after a wait, if the kind of request and its time allow it. */
  private void retry(Request request, long waitMillis, int status) {
    boolean may = request.profile.idempotent() || NOT_EXECUTED_STATUSES.contains(status);
    if (request.isFinished || !may || request.remainingRetries == 0) {
      finish(request, status);
      return;
    }
    request.remainingRetries--;
    long wait = Math.min(waitMillis, Math.round(request.remainingMillis() * MAX_BACKOFF_FRACTION));
    var unused = loop.schedule(wait, () -> startAttempt(request));
  }

  private void finish(Request request, int status) {
    if (request.isFinished) {
      return;
    }
    request.isFinished = true;
    Loop.Timer timer = request.deadlineTimer;
    if (timer != null) {
      timer.cancel();
    }
    CallerConnection connection = request.connection;
    String id = request.id;
    if (connection != null && id != null && ledger.answer(id).isEmpty()) {
      ledger.recordCallerLeft(id, loop.nowMillis());
      connection.abandon();
    }
    onCompletion.accept(
        new CompletedRequest(
            request.profile,
            request.startedAtMillis,
            status,
            loop.nowMillis() - request.startedAtMillis,
            location.zone()));
  }

  private static String host(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }
}
