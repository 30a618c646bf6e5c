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
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.forward.Loop;

/**
 * The callers of one zone: they resolve entry VMs, connect, wait and retry as the platform's
 * documentation asks.
 *
 * <p>Requests arrive as a Poisson process with the rate of each profile. The same seed gives the
 * same requests at the same times, whatever the system answers.
 */
public final class CallersStandIn {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long LOOK_UP_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_LOOK_UP_ATTEMPTS = 3;
  private static final double MAX_BACKOFF_FRACTION = 1.0 / 3;
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final String QUARANTINED = Integer.toString(ResultCode.QUARANTINED.number());
  private static final Set<Integer> FINAL_STATUSES = Set.of(400, 401, 404, 413, 431);
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /**
   * The location of the callers and the entry VMs that they ask for addresses.
   *
   * @param name name that no other callers have; request ids begin with it
   * @param lookUpAddresses addresses of entry VMs' look-up ports, nearest first
   */
  public record Location(String name, String zone, String region, List<String> lookUpAddresses) {}

  /** The outcome of a caller's request after all its attempts; status 0 means no answer. */
  public record CompletedRequest(
      RequestProfile profile, long startedAtMillis, int status, long durationMillis, String zone) {}

  /** Draws the API key of a request. */
  @FunctionalInterface
  public interface CredentialSource {
    /** Draws the next request's API key and its workspace; null sends no key. */
    Ledger.@Nullable Credential drawCredential(Random random);
  }

  private static final int DEFAULT_BODY_BYTES = 200;

  /** Longer bodies are sent in chunks of this length. */
  private static final int CHUNK_LENGTH = 32 << 10;

  private static final long CHUNK_PAUSE_MILLIS = 4;

  private final class Request {
    final RequestProfile profile;
    final Ledger.@Nullable Credential credential =
        credentialSource.drawCredential(credentialRandom);
    final long startedAtMillis;
    final String object;
    final String body;
    final Set<String> failedAddresses = new HashSet<>();
    final Consumer<CompletedRequest> completion;
    int remainingRetries;
    @Nullable CallerConnection connection;
    @Nullable String id;
    Loop.@Nullable Timer deadlineTimer;
    boolean isFinished;
    boolean hasTried;
    boolean isCounted = true;

    Request(
        RequestProfile profile,
        String object,
        int remainingRetries,
        Consumer<CompletedRequest> completion) {
      this.profile = profile;
      this.startedAtMillis = loop.nowMillis();
      this.object = object;
      this.body = profile.idempotent() ? "" : "body of " + object + ' ' + "x".repeat(bodyBytes);
      this.remainingRetries = remainingRetries;
      this.completion = completion;
    }

    long remainingMillis() {
      return startedAtMillis + profile.deadlineMillis() - loop.nowMillis();
    }
  }

  private int bodyBytes = DEFAULT_BODY_BYTES;
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
    this.random = new Random(seed ^ location.name().hashCode());
    this.onCompletion = onCompletion;
    this.credentialRandom = new Random(seed + location.name().hashCode());
  }

  /**
   * Starts callers.
   *
   * @param fraction fraction of each profile's requests that these callers send
   * @param currentRoutes looks up routes by name in the newest configuration
   * @param onCompletion called with the outcome of each request
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
    profiles.forEach(profile -> callers.scheduleNext(profile, fraction));
    return callers;
  }

  /** Also sends {@code fraction} of the requests of {@code profile}. */
  public void addProfile(RequestProfile profile, double fraction) {
    scheduleNext(profile, fraction);
  }

  /**
   * Sends one request that crashes the targets that run it, and retries it as any other. It does
   * not count among the completed requests.
   */
  public void sendCrashingRequest(RequestProfile profile, String object, Runnable onEnd) {
    Request request = new Request(profile, object + "/poison", 1, ended -> onEnd.run());
    request.isCounted = false;
    startRequest(request);
  }

  /** Sets the source of the API keys for new requests. */
  public void setCredentialSource(CredentialSource source) {
    credentialSource = source;
  }

  /** Sets the approximate length of the bodies of new requests that must not run twice. */
  public void setBodyBytes(int bytes) {
    bodyBytes = bytes;
  }

  /** Stops sending new requests; requests in flight and their retries continue. */
  public void stop() {
    isSending = false;
  }

  /** Sets the factor that is applied to the request rate of each profile. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** Lets {@code fraction} of the callers abandon a request after {@code afterMillis}. */
  public void setAbandonment(double fraction, long afterMillis) {
    abandonFraction = fraction;
    abandonAfterMillis = afterMillis;
  }

  private void scheduleNext(RequestProfile profile, double fraction) {
    double meanMillis = 1_000 / (profile.requestsPerSecond() * fraction * rateFactor);
    long waitMillis = Math.round(-Math.log(1 - random.nextDouble()) * meanMillis);
    var unused =
        loop.schedule(
            waitMillis,
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
    Request request = new Request(profile, object, 1, onCompletion);
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
    String address = location.lookUpAddresses().get(attempts);
    boolean[] isDone = {false};
    Runnable tryNext =
        () -> {
          if (!isDone[0]) {
            isDone[0] = true;
            lookUp(request, attempts + 1);
          }
        };
    var unused = loop.schedule(LOOK_UP_TIMEOUT_MILLIS, tryNext);
    CallerConnection.open(
        loop,
        host(address),
        port(address),
        CONNECT_TIMEOUT_MILLIS,
        connection ->
            connection.send(
                "GET",
                "/resolve?name=any&region=" + location.region() + "&zone=" + location.zone(),
                Map.of("Host", address, "Connection", "close"),
                "",
                reply -> {
                  if (!isDone[0] && acceptAddresses(reply)) {
                    isDone[0] = true;
                    connect(request);
                  } else {
                    tryNext.run();
                  }
                }),
        cause -> tryNext.run());
  }

  private boolean acceptAddresses(CallerConnection.Reply reply) {
    if (!(reply instanceof CallerConnection.Reply.Complete complete) || complete.status() != 200) {
      return false;
    }
    try {
      JsonNode body = JSON.readTree(complete.body());
      List<String> resolved = new ArrayList<>();
      body.path("addresses").forEach(address -> resolved.add(address.asText()));
      addresses = resolved;
      addressesExpireAtMillis =
          loop.nowMillis() + PlatformTexts.parseMillis(body.path("ttl").asText("1s"));
      idleConnections.keySet().retainAll(resolved);
      return !resolved.isEmpty();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private void connect(Request request) {
    if (request.isFinished) {
      return;
    }
    List<String> candidates =
        addresses.stream().filter(address -> !request.failedAddresses.contains(address)).toList();
    if (candidates.isEmpty()) {
      candidates = addresses;
    }
    String address = candidates.get(random.nextInt(candidates.size()));
    CallerConnection idle = findIdleConnection(request.profile, address);
    if (idle != null) {
      sendRequest(request, address, idle);
      return;
    }
    CallerConnection.open(
        loop,
        host(address),
        port(address),
        CONNECT_TIMEOUT_MILLIS,
        connection -> sendRequest(request, address, connection),
        cause -> {
          recordFirstTry(request, address, "");
          request.failedAddresses.add(address);
          retry(request, MIN_BACKOFF_MILLIS, 0);
        });
  }

  private void recordFirstTry(Request request, String address, String attemptId) {
    if (!request.hasTried && request.isCounted) {
      ledger.recordFirstTry(new Ledger.FirstTry(host(address), attemptId, loop.nowMillis()));
    }
    request.hasTried = true;
  }

  private @Nullable CallerConnection findIdleConnection(RequestProfile profile, String address) {
    Deque<CallerConnection> idle = idleConnections.getOrDefault(address, new ArrayDeque<>());
    while (profile.connectionUse() != RequestProfile.ConnectionUse.FRESH && !idle.isEmpty()) {
      CallerConnection last = idle.removeLast();
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
    String id = location.name() + "-" + lastRequestNumber;
    String path =
        request.profile.prefix() + request.object + '/' + request.profile.meanServiceMillis();
    request.connection = connection;
    request.id = id;
    recordFirstTry(request, address, id);
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", request.profile.host());
    headers.put("Request-Id", id);
    headers.put("Cookie", "Affinity-Key=" + request.object);
    headers.put("Request-Deadline", Long.toString(request.remainingMillis()));
    Ledger.Credential credential = request.credential;
    if (credential != null) {
      headers.put("Authorization", "Token " + credential.key());
      ledger.recordCredential(id, credential);
    }
    ledger.recordAttempt(
        new Ledger.Attempt(
            id,
            route.get(),
            path,
            request.body,
            location.region(),
            host(address),
            loop.nowMillis(),
            request.remainingMillis()));
    Consumer<CallerConnection.Reply> onReply =
        reply -> onReply(request, address, connection, id, reply);
    if (request.body.length() > CHUNK_LENGTH) {
      connection.sendPieces(chunkedPost(path, headers, request.body), CHUNK_PAUSE_MILLIS, onReply);
      return;
    }
    String method = request.profile.idempotent() ? "GET" : "POST";
    connection.send(method, path, headers, request.body, onReply);
  }

  /** The request's head and then its body in chunks. */
  private static List<String> chunkedPost(String path, Map<String, String> headers, String body) {
    StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    List<String> pieces = new ArrayList<>();
    pieces.add(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (int from = 0; from < body.length(); from += CHUNK_LENGTH) {
      String chunk = body.substring(from, Math.min(body.length(), from + CHUNK_LENGTH));
      pieces.add(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
    }
    pieces.add("0\r\n\r\n");
    return pieces;
  }

  private void onReply(
      Request request,
      String address,
      CallerConnection connection,
      String id,
      CallerConnection.Reply reply) {
    if (reply instanceof CallerConnection.Reply.Malformed malformed) {
      ledger.recordMalformedAnswer(id, malformed.cause());
    }
    if (!(reply instanceof CallerConnection.Reply.Complete complete)) {
      ledger.recordAnswer(new Ledger.Answered(id, 0, "", false, null, loop.nowMillis()));
      request.failedAddresses.add(address);
      retry(request, MIN_BACKOFF_MILLIS, 0);
      return;
    }
    HttpHeaders headers = complete.headers();
    ledger.recordAnswer(
        new Ledger.Answered(
            id,
            complete.status(),
            complete.body(),
            PlatformTexts.seal(id).equals(headers.get("Server-Seal")),
            headers.get("Request-Id"),
            loop.nowMillis()));
    if (QUARANTINED.equals(headers.get("Sageladder-Result"))) {
      ledger.recordQuarantined(id);
    }
    if (request.profile.connectionUse() != RequestProfile.ConnectionUse.FRESH
        && connection.isUsable()) {
      idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(connection);
    } else if (request.profile.connectionUse() == RequestProfile.ConnectionUse.FRESH) {
      connection.abandon();
    }
    if (complete.status() < 400 || FINAL_STATUSES.contains(complete.status())) {
      finish(request, complete.status());
      return;
    }
    long retryAfterMillis = Math.round(1_000 * Double.parseDouble(headers.get("Retry-After", "0")));
    retry(request, Math.max(MIN_BACKOFF_MILLIS, retryAfterMillis), complete.status());
  }

  /**
   * Retries after a wait if a retry remains and either the request is idempotent or the status says
   * that it did not run; otherwise finishes the request.
   */
  private void retry(Request request, long waitMillis, int status) {
    boolean mayRetry = request.profile.idempotent() || NOT_EXECUTED_STATUSES.contains(status);
    if (request.isFinished || !mayRetry || request.remainingRetries == 0) {
      finish(request, status);
      return;
    }
    request.remainingRetries--;
    long backoffMillis =
        Math.min(waitMillis, Math.round(request.remainingMillis() * MAX_BACKOFF_FRACTION));
    var unused = loop.schedule(backoffMillis, () -> startAttempt(request));
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
    request.completion.accept(
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
