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
 * What entry VMs of one customer send each other on the callers' port about permits.
 *
 * <p>Every such message carries the sealed word of its sender, so a caller cannot make one up.
 */
public final class PeerRoutes {
  /** Path under which messages between entry VMs are taken. */
  public static final String PREFIX = "/v1/peer/";

  /** Takes the states of permits whose home stops. */
  public static final String HAND_OVER = PREFIX + "hand-over";

  /** Takes the name of the entry VM that answers for a home that stops. */
  public static final String SUCCESSOR = PREFIX + "successor";

  /** Takes what the gate that held a target before counted of it. */
  public static final String TARGET_HISTORY = PREFIX + "target-history";

  /** Topic of announcements that carry the same sealed word as {@link #SUCCESSOR}. */
  public static final String SUCCESSOR_TOPIC = "permit-successor";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LARGEST_HAND_OVER = 64 << 20;
  private static final int LARGEST_HISTORY = 4096;
  private static final JsonMapper JSON = new JsonMapper();

  private final String customer;
  private final PermitCodec codec;
  private final PermitHome home;
  private final PermitSuccessors successors;
  private final GateTable gates;
  private final TimeSource time;
  private final Executor executor;

  PeerRoutes(
      String customer,
      PermitCodec codec,
      PermitHome home,
      PermitSuccessors successors,
      GateTable gates,
      TimeSource time,
      Executor executor) {
    this.gates = gates;
    this.customer = customer;
    this.codec = codec;
    this.home = home;
    this.successors = successors;
    this.time = time;
    this.executor = executor;
  }

  void begin(CallerExchange exchange) throws IOException {
    String path = exchange.request().getPath();
    Header header = exchange.request().getFirstHeader(Headers.DISPATCH);
    OpenedPermit opened = codec.open(header == null ? "" : header.getValue());
    if (!(opened instanceof OpenedPermit.Valid valid)
        || !valid.permit().customer().equals(customer)
        || !valid.permit().service().equals(path)) {
      exchange.requestBody().discard();
      Answers.send(
          exchange,
          Result.notRun(ResultCode.PERMIT_INVALID, "only an entry VM may send to " + path));
      return;
    }
    Permit word = valid.permit();
    if (path.equals(SUCCESSOR)) {
      note(word);
      exchange.requestBody().discard();
      accepted(exchange);
      return;
    }
    if (path.equals(TARGET_HISTORY)) {
      BodyCollector.collect(
          exchange.requestBody(), LARGEST_HISTORY, bytes -> learn(exchange, word, bytes));
      return;
    }
    BodyCollector.collect(
        exchange.requestBody(),
        LARGEST_HAND_OVER,
        bytes -> executor.execute(() -> adopt(exchange, word, bytes)));
  }

  /** Takes an announced successor; a word that cannot be verified here is left out. */
  void announced(byte[] content) {
    OpenedPermit opened = codec.open(new String(content, StandardCharsets.US_ASCII));
    if (opened instanceof OpenedPermit.Valid valid
        && valid.permit().customer().equals(customer)
        && valid.permit().service().equals(SUCCESSOR)) {
      note(valid.permit());
    }
  }

  private void note(Permit word) {
    successors.note(
        word.issuer(), word.incarnation(), word.binding(), word.expiryMillis(), time.wallMillis());
  }

  private static void accepted(CallerExchange exchange) {
    exchange.answer(new BasicHttpResponse(204), null, BodyPipe.of(new byte[0]));
  }

  private void learn(CallerExchange exchange, Permit word, byte[] bytes) {
    try {
      TargetHistory history = JSON.readValue(bytes, TargetHistory.class);
      if (!history.target().equals(word.binding())) {
        throw new IOException(
            "the history is of " + history.target() + ", its word of " + word.binding());
      }
      gates.learn(word.sequence(), history);
      accepted(exchange);
    } catch (IOException e) {
      Answers.send(
          exchange, Result.notRun(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private void adopt(CallerExchange exchange, Permit word, byte[] bytes) {
    try {
      HandOver handOver = HandOverCodec.decode(bytes);
      if (!handOver.vm().equals(word.issuer()) || handOver.incarnation() != word.incarnation()) {
        throw new IOException("the hand-over is of " + handOver.vm() + ", not " + word.issuer());
      }
      home.adopt(handOver);
      logger.atInfo().log(
          "answers for %d permits of %s, which stops", handOver.permitCount(), handOver.vm());
      accepted(exchange);
    } catch (IOException e) {
      Answers.send(
          exchange, Result.notRun(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }
}
