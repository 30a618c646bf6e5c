package org.sageladder.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;

/** Responses that an entry VM generates itself. */
public final class LocalReplies {
  private static final JsonMapper JSON = new JsonMapper();

  private LocalReplies() {}

  /** Value of the result header: {@code number NAME}. */
  public static String label(ResultCode code) {
    return code.number() + " " + code.name();
  }

  /** Value of the outcome header: {@code ran}, {@code not-run} or {@code unknown}. */
  public static String label(Outcome outcome) {
    return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The outcome with that label, or unknown if no outcome has it. */
  static Outcome parseOutcome(String label) {
    for (Outcome outcome : Outcome.values()) {
      if (label(outcome).equals(label)) {
        return outcome;
      }
    }
    return Outcome.UNKNOWN;
  }

  /** Sends a result as a small JSON document; false if a response has already been started. */
  public static boolean send(CallerExchange exchange, Result result) {
    return exchange.isResponseStarted() ? false : send(exchange, responseHead(result), result);
  }

  /** Sends a result with a head that {@link #responseHead} made, to which headers may be added. */
  public static boolean send(CallerExchange exchange, HttpResponse head, Result result) {
    ObjectNode json = JSON.createObjectNode();
    json.put("code", result.code().number());
    json.put("name", result.code().name());
    json.put("outcome", label(result.code().outcome()));
    json.put("detail", detail(result));
    json.put("retryAfterMillis", retryAfter(result).toMillis());
    return send(exchange, head, json);
  }

  /** Sends a JSON document with the given response head. */
  public static boolean send(CallerExchange exchange, HttpResponse head, JsonNode json) {
    return send(exchange, head, ContentType.APPLICATION_JSON, json + "\n");
  }

  /** Sends text with the given response head. */
  public static boolean send(
      CallerExchange exchange, HttpResponse head, ContentType type, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return exchange.respond(head, new BasicEntityDetails(body.length, type), BodyPipe.of(body));
  }

  /** The head of the response that reports {@code result}. */
  public static HttpResponse responseHead(Result result) {
    BasicHttpResponse response = new BasicHttpResponse(result.code().httpStatus());
    addResultHeaders(response, result.code());
    Duration retryAfter = retryAfter(result);
    if (!retryAfter.isZero()) {
      response.setHeader(Headers.RETRY_AFTER, retryAfter.toMillis());
      response.setHeader("Retry-After", Math.max(1, retryAfter.toSeconds()));
    }
    return response;
  }

  /** Adds the headers with number, name and outcome of {@code code} to a response. */
  public static void addResultHeaders(HttpResponse response, ResultCode code) {
    response.setHeader(Headers.RESULT, label(code));
    response.setHeader(Headers.OUTCOME, label(code.outcome()));
  }

  private static Duration retryAfter(Result result) {
    return result instanceof Result.NotRun notRun ? notRun.retryAfter() : Duration.ZERO;
  }

  private static String detail(Result result) {
    if (result instanceof Result.NotRun notRun) {
      return notRun.detail();
    }
    return result instanceof Result.Unknown unknown ? unknown.detail() : "";
  }
}
