package org.sageladder.client;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

/**
 * One request to a service.
 *
 * <pre>{@code
 * Request.post("kalnins-dauge", "bid", 1204, "/lots/77/bids", body, "application/json")
 *     .deadline(Duration.ofSeconds(5))
 *     .idempotencyKey("dealer-9/lot-77/3");
 * }</pre>
 *
 * @param contract customer whose contract carries the request
 * @param service service of that contract
 * @param block block of clients that the caller belongs to, at least 0
 * @param method HTTP method
 * @param path path and query at the target, starting with a slash
 * @param headers further headers, handed on to the target
 * @param body whole body, empty where there is none; the caller must not change it
 * @param contentType type of the body, empty where there is no body
 * @param deadline longest time that the caller waits for the whole answer, all tries together
 * @param idempotencyKey the caller's own key for a request that must not repeat, or empty
 * @param id name of the request in logs and on the time line
 */
@SuppressWarnings("ArrayRecordComponent")
public record Request(
    String contract,
    String service,
    int block,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    String contentType,
    Duration deadline,
    String idempotencyKey,
    String id) {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

  /** Rejects what no entry VM would accept. */
  public Request {
    if (!path.startsWith("/")) {
      throw new IllegalArgumentException(
          "path \""
              + path
              + "\": expected one that starts with a slash, such as \"/"
              + path
              + "\"");
    }
    if (deadline.toMillis() < 1) {
      throw new IllegalArgumentException("deadline " + deadline + ": expected at least 1 ms");
    }
    if (block < 0) {
      throw new IllegalArgumentException("block " + block + ": expected at least 0");
    }
    headers = Map.copyOf(headers);
  }

  /** A request without a body. */
  public static Request get(String contract, String service, int block, String path) {
    return new Request(
        contract,
        service,
        block,
        "GET",
        path,
        Map.of(),
        new byte[0],
        "",
        DEFAULT_DEADLINE,
        "",
        UUID.randomUUID().toString());
  }

  /** A request with a body. */
  public static Request post(
      String contract, String service, int block, String path, byte[] body, String contentType) {
    return new Request(
        contract,
        service,
        block,
        "POST",
        path,
        Map.of(),
        body,
        contentType,
        DEFAULT_DEADLINE,
        "",
        UUID.randomUUID().toString());
  }

  /** The same request with another deadline. */
  public Request deadline(Duration newDeadline) {
    return new Request(
        contract,
        service,
        block,
        method,
        path,
        headers,
        body,
        contentType,
        newDeadline,
        idempotencyKey,
        id);
  }

  /** The same request bound to the caller's own key. */
  public Request idempotencyKey(String key) {
    return new Request(
        contract, service, block, method, path, headers, body, contentType, deadline, key, id);
  }

  /** The same request under another id. */
  public Request id(String newId) {
    return new Request(
        contract,
        service,
        block,
        method,
        path,
        headers,
        body,
        contentType,
        deadline,
        idempotencyKey,
        newId);
  }

  /** The same request with one header more. */
  public Request header(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new Request(
        contract,
        service,
        block,
        method,
        path,
        more,
        body,
        contentType,
        deadline,
        idempotencyKey,
        id);
  }
}
