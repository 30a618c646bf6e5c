package org.sageladder.standin.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.forward.Loop;

/**
 * Callers that open connections to one entry VM and keep sending on them until it closes them,
 * whatever look-ups say. They send requests whole, in pieces or pipelined, and never retry.
 *
 * <pre>{@code
 * PersistentCallers.of(world, "late-1", "north", "127.1.0.2:8381", 1).start(8, 100, 6_000);
 * }</pre>
 */
public final class PersistentCallers {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MIN_PIECE_PAUSE_MILLIS = 20;
  private static final int PIECE_PAUSE_RANGE_MILLIS = 600;
  private static final int BETWEEN_REQUESTS_RANGE_MILLIS = 400;

  /**
   * What all callers of a run share.
   *
   * @param currentRoutes looks up routes by name in the newest configuration
   */
  public record World(
      Loop loop,
      Ledger ledger,
      List<RequestProfile> profiles,
      Function<String, Optional<RouteRule>> currentRoutes) {}

  /** How a caller writes a request. */
  private enum Style {
    WHOLE,
    IN_PIECES,
    PIPELINED
  }

  private final World world;
  private final String name;
  private final String region;
  private final String address;
  private final Random random;
  private List<Style> styles = List.of(Style.values());
  private long endMillis;
  private int lastRequestNumber;

  private PersistentCallers(World world, String name, String region, String address, long seed) {
    this.world = world;
    this.name = name;
    this.region = region;
    this.address = address;
    this.random = new Random(seed ^ name.hashCode());
  }

  /**
   * Creates callers; must be used on the loop of {@code world}.
   *
   * @param name name that no other callers have; request ids begin with it
   * @param address host and port of the entry VM
   */
  public static PersistentCallers of(
      World world, String name, String region, String address, long seed) {
    return new PersistentCallers(world, name, region, address, seed);
  }

  /** Sends each request whole from now on. */
  public PersistentCallers sendWhole() {
    styles = List.of(Style.WHOLE);
    return this;
  }

  /**
   * Opens {@code connectionCount} connections, each of which sends its first request at a random
   * time from {@code delayMillis} on and its last one within {@code millis} after that.
   */
  public void start(int connectionCount, long delayMillis, long millis) {
    endMillis = world.loop().nowMillis() + delayMillis + millis;
    for (int i = 0; i < connectionCount; i++) {
      long firstMillis = delayMillis + random.nextInt((int) millis);
      CallerConnection.open(
          world.loop(),
          address.substring(0, address.indexOf(':')),
          Integer.parseInt(address.substring(address.indexOf(':') + 1)),
          CONNECT_TIMEOUT_MILLIS,
          connection -> schedule(firstMillis, connection),
          cause -> {});
    }
  }

  private void schedule(long delayMillis, CallerConnection connection) {
    var unused = world.loop().schedule(delayMillis, () -> sendNext(connection));
  }

  private void sendNext(CallerConnection connection) {
    if (world.loop().nowMillis() >= endMillis || !connection.isUsable()) {
      return;
    }
    RequestProfile profile = world.profiles().get(random.nextInt(world.profiles().size()));
    Style style = styles.get(random.nextInt(styles.size()));
    send(profile, style, connection);
    if (style == Style.PIPELINED && profile.idempotent()) {
      send(profile, Style.WHOLE, connection);
    }
  }

  private void send(RequestProfile profile, Style style, CallerConnection connection) {
    Optional<RouteRule> route = world.currentRoutes().apply(profile.route());
    if (route.isEmpty()) {
      return;
    }
    lastRequestNumber++;
    String id = name + '-' + lastRequestNumber;
    String object = "o" + random.nextInt(profile.objectCount());
    String path = profile.prefix() + object + '/' + profile.meanServiceMillis();
    String body = profile.idempotent() ? "" : "body of " + id + ' ' + "x".repeat(200);
    long pauseMillis =
        style == Style.IN_PIECES
            ? (long) MIN_PIECE_PAUSE_MILLIS + random.nextInt(PIECE_PAUSE_RANGE_MILLIS)
            : 0;
    // Recorded as sent with its last piece; its time limits count from the first.
    long limitMillis = Math.min(profile.deadlineMillis(), route.get().timeoutMillis());
    world
        .ledger()
        .recordAttempt(
            new Ledger.Attempt(
                id,
                route.get(),
                path,
                body,
                region,
                address.substring(0, address.indexOf(':')),
                world.loop().nowMillis() + pauseMillis,
                limitMillis - pauseMillis));
    String head = head(profile, id, path, object, body.length());
    connection.sendPieces(
        style == Style.IN_PIECES ? split(head + body) : List.of(head + body),
        pauseMillis,
        reply -> onReply(id, reply, connection));
  }

  private static String head(
      RequestProfile profile, String id, String path, String object, int bodyLength) {
    Map<String, String> headers =
        Map.of(
            "Host", profile.host(),
            "Request-Id", id,
            "Cookie", "Affinity-Key=" + object,
            "Request-Deadline", Long.toString(profile.deadlineMillis()),
            "Content-Length", Integer.toString(bodyLength));
    StringBuilder head = new StringBuilder(profile.idempotent() ? "GET " : "POST ");
    head.append(path).append(" HTTP/1.1\r\n");
    headers.forEach((key, value) -> head.append(key).append(": ").append(value).append("\r\n"));
    return head.append("\r\n").toString();
  }

  private List<String> split(String request) {
    int at = 1 + random.nextInt(request.length() - 1);
    return List.of(request.substring(0, at), request.substring(at));
  }

  private void onReply(String id, CallerConnection.Reply reply, CallerConnection connection) {
    long now = world.loop().nowMillis();
    if (reply instanceof CallerConnection.Reply.Malformed malformed) {
      world.ledger().recordMalformedAnswer(id, malformed.cause());
    }
    if (!(reply instanceof CallerConnection.Reply.Complete complete)) {
      world.ledger().recordAnswer(new Ledger.Answered(id, 0, "", false, null, now));
      return;
    }
    world
        .ledger()
        .recordAnswer(
            new Ledger.Answered(
                id,
                complete.status(),
                complete.body(),
                PlatformTexts.seal(id).equals(complete.headers().get("Server-Seal")),
                complete.headers().get("Request-Id"),
                now));
    if (connection.isUsable()) {
      schedule(random.nextInt(BETWEEN_REQUESTS_RANGE_MILLIS), connection);
    }
  }
}
