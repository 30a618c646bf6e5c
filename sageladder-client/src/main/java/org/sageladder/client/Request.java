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
 * @param contract customer whose contract applies to the request
 * @param service name of a service in that contract
 * @param block number of the client block that the caller belongs to, at least 0
 * @param method HTTP method
 * @param path path and query to send to the target, starting with a slash
 * @param headers additional headers, forwarded to the target
 * @param body complete body, empty if there is none; the caller must not modify it
 * @param contentType media type of the body, empty if there is no body
 * @param deadline maximum time to wait for the complete response, over all attempts
 * @param idempotencyKey the caller's key that identifies a request which must not repeat, or empty
 * @param id identifier of the request in logs and on the timeline
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

  /** Rejects values that no entry VM would accept. */
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

  /** Creates a GET request, which has no body. */
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

  /** Creates a POST request with a body. */
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

  /** Returns a copy with another deadline. */
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

  /** Returns a copy with an idempotency key chosen by the caller. */
  public Request idempotencyKey(String key) {
    return new Request(
        contract, service, block, method, path, headers, body, contentType, deadline, key, id);
  }

  /** Returns a copy with another id. */
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

  /** Returns a copy with an additional header, which replaces one of the same name. */
  public Request header(String name, String value) {
    Map<String, String> newHeaders = new LinkedHashMap<>(headers);
    newHeaders.put(name, value);
    return new Request(
        contract,
        service,
        block,
        method,
        path,
        newHeaders,
        body,
        contentType,
        deadline,
        idempotencyKey,
        id);
  }
}
