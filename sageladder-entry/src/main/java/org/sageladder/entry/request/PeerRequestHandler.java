package org.sageladder.entry.request;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.permit.HandOver;
import org.sageladder.core.permit.HandOverCodec;
import org.sageladder.core.permit.OpenedPermit;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.gates.GateTable;

/**
 * Handles the messages about permits and targets that entry VMs of one customer send to each
 * other's callers' port.
 *
 * <p>Every such message carries a token that its sender sealed, so callers cannot forge one.
 */
public final class PeerRequestHandler {
  /** Path prefix of messages between entry VMs. */
  public static final String PATH_PREFIX = "/v1/peer/";

  /** Receives the permit states of an issuer that stops. */
  public static final String HAND_OVER_PATH = PATH_PREFIX + "hand-over";

  /** Receives the name of the successor of an issuer that stops. */
  public static final String SUCCESSOR_PATH = PATH_PREFIX + "successor";

  /** Receives what the previous gate of a target counted. */
  public static final String TARGET_HISTORY_PATH = PATH_PREFIX + "target-history";

  /** Topic of announcements that carry the same sealed token as {@link #SUCCESSOR_PATH}. */
  public static final String SUCCESSOR_TOPIC = "permit-successor";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_HAND_OVER_BYTES = 64 << 20;
  private static final int MAX_HISTORY_BYTES = 4096;
  private static final JsonMapper JSON = new JsonMapper();

  private final String customer;
  private final PermitCodec codec;
  private final PermitHome issuer;
  private final PermitSuccessors successors;
  private final GateTable gates;
  private final TimeSource time;
  private final Executor executor;

  PeerRequestHandler(
      String customer,
      PermitCodec codec,
      PermitHome issuer,
      PermitSuccessors successors,
      GateTable gates,
      TimeSource time,
      Executor executor) {
    this.gates = gates;
    this.customer = customer;
    this.codec = codec;
    this.issuer = issuer;
    this.successors = successors;
    this.time = time;
    this.executor = executor;
  }

  void handle(CallerExchange exchange) throws IOException {
    String path = exchange.request().getPath();
    Header header = exchange.request().getFirstHeader(Headers.DISPATCH_TOKEN);
    OpenedPermit opened = codec.open(header == null ? "" : header.getValue());
    if (!(opened instanceof OpenedPermit.Valid valid)
        || !valid.permit().customer().equals(customer)
        || !valid.permit().service().equals(path)) {
      exchange.requestBody().discard();
      LocalReplies.send(
          exchange, Result.notRun(ResultCode.PERMIT_INVALID, "only entry VMs may send to " + path));
      return;
    }
    Permit token = valid.permit();
    if (path.equals(SUCCESSOR_PATH)) {
      recordSuccessor(token);
      exchange.requestBody().discard();
      acknowledge(exchange);
      return;
    }
    if (path.equals(TARGET_HISTORY_PATH)) {
      BodyCollector.collect(
          exchange.requestBody(),
          MAX_HISTORY_BYTES,
          bytes -> acceptHistory(exchange, token, bytes));
      return;
    }
    BodyCollector.collect(
        exchange.requestBody(),
        MAX_HAND_OVER_BYTES,
        bytes -> executor.execute(() -> acceptHandOver(exchange, token, bytes)));
  }

  /** Records an announced successor; ignores a token that cannot be verified. */
  void onSuccessorAnnounced(byte[] content) {
    OpenedPermit opened = codec.open(new String(content, StandardCharsets.US_ASCII));
    if (opened instanceof OpenedPermit.Valid valid
        && valid.permit().customer().equals(customer)
        && valid.permit().service().equals(SUCCESSOR_PATH)) {
      recordSuccessor(valid.permit());
    }
  }

  private void recordSuccessor(Permit token) {
    successors.recordSuccessor(
        token.issuer(),
        token.incarnation(),
        token.binding(),
        token.expiryMillis(),
        time.wallMillis());
  }

  private static void acknowledge(CallerExchange exchange) {
    exchange.respond(new BasicHttpResponse(204), null, BodyPipe.of(new byte[0]));
  }

  private void acceptHistory(CallerExchange exchange, Permit token, byte[] bytes) {
    try {
      TargetHistory history = JSON.readValue(bytes, TargetHistory.class);
      if (!history.target().equals(token.binding())) {
        throw new IOException(
            "the history is of target " + history.target() + ", its token of " + token.binding());
      }
      gates.acceptHistory(token.sequence(), history);
      acknowledge(exchange);
    } catch (IOException e) {
      LocalReplies.send(
          exchange, Result.notRun(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private void acceptHandOver(CallerExchange exchange, Permit token, byte[] bytes) {
    try {
      HandOver handOver = HandOverCodec.decode(bytes);
      if (!handOver.vm().equals(token.issuer()) || handOver.incarnation() != token.incarnation()) {
        throw new IOException(
            "the hand-over is of " + handOver.vm() + ", its token of " + token.issuer());
      }
      issuer.adopt(handOver);
      logger.atInfo().log(
          "took over %d permits of %s, which is stopping", handOver.permitCount(), handOver.vm());
      acknowledge(exchange);
    } catch (IOException e) {
      LocalReplies.send(
          exchange, Result.notRun(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }
}
