package org.sageladder.entry.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;
import org.sageladder.entry.gates.HistorySender;

/**
 * Sends target histories to the callers' port of their new holders. Each carries a sealed token
 * whose sequence is the number of the view that moved the target.
 */
public final class HttpHistorySender implements HistorySender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final JsonMapper JSON = new JsonMapper();
  private static final int MAX_RESPONSE_BYTES = 4096;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration TOKEN_LIFETIME = Duration.ofSeconds(10);

  private final Member self;
  private final String customer;
  private final PermitCodec codec;
  private final RequestSender client;
  private final TimeSource time;

  private HttpHistorySender(
      Member self, String customer, PermitCodec codec, RequestSender client, TimeSource time) {
    this.self = self;
    this.customer = customer;
    this.codec = codec;
    this.client = client;
    this.time = time;
  }

  /** A sender for the entry VM {@code self}. */
  public static HttpHistorySender of(
      Member self, String customer, PermitCodec codec, RequestSender client, TimeSource time) {
    return new HttpHistorySender(self, customer, codec, client, time);
  }

  @Override
  public void send(Member holder, long viewNumber, TargetHistory history) {
    byte[] body;
    try {
      body = JSON.writeValueAsBytes(history);
    } catch (JsonProcessingException e) {
      logger.atWarning().withCause(e).log(
          "cannot serialize the history of target %s", history.target());
      return;
    }
    BasicHttpRequest request = new BasicHttpRequest("PUT", PeerRequestHandler.TARGET_HISTORY_PATH);
    HttpHost host = new HttpHost(holder.host(), holder.port());
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    request.setHeader(Headers.DISPATCH_TOKEN, codec.seal(token(viewNumber, history)));
    client.send(
        host,
        request,
        new BasicEntityDetails(body.length, ContentType.APPLICATION_JSON),
        BodyPipe.of(body),
        CONNECT_TIMEOUT,
        new SendListener(holder.vm(), history.target()));
  }

  private Permit token(long viewNumber, TargetHistory history) {
    long expiry = time.wallMillis() + TOKEN_LIFETIME.toMillis();
    return new Permit(
        self.vm(),
        self.incarnation(),
        viewNumber,
        expiry,
        customer,
        PeerRequestHandler.TARGET_HISTORY_PATH,
        history.target(),
        "");
  }

  private record SendListener(String vm, String target) implements RequestSender.Listener {
    @Override
    public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      if (details != null) {
        BodyCollector.collect(body, MAX_RESPONSE_BYTES, bytes -> {});
      }
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean isSent, Exception cause) {
      logger.atInfo().withCause(cause).log(
          "%s did not receive the history of target %s; it admits no requests to it for one window"
              + " of the shift cap",
          vm, target);
    }
  }
}
