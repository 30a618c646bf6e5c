package org.sageladder.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.membership.Holding;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;

/** Probes targets by reading their load over HTTP. */
public final class HttpTargetProbe implements TargetProbe {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final JsonMapper JSON = new JsonMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_REPORT_BYTES = 4096;

  private final RequestSender sender;

  private HttpTargetProbe(RequestSender sender) {
    this.sender = sender;
  }

  /** Creates a probe that sends its requests with {@code sender}. */
  public static HttpTargetProbe of(RequestSender sender) {
    return new HttpTargetProbe(sender);
  }

  @Override
  public void probe(Holding holding, Consumer<Boolean> onAnswer) {
    HttpHost host = new HttpHost(holding.host(), holding.port());
    BasicHttpRequest request = new BasicHttpRequest("GET", "/load");
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    sender.send(
        host,
        request,
        null,
        BodyPipe.of(new byte[0]),
        CONNECT_TIMEOUT,
        new LoadListener(holding, onAnswer));
  }

  private record LoadListener(Holding holding, Consumer<Boolean> onAnswer)
      implements RequestSender.Listener {
    @Override
    public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      if (response.getCode() == 200) {
        BodyCollector.collect(body, MAX_REPORT_BYTES, this::reportIdle);
      }
    }

    private void reportIdle(byte[] bytes) {
      try {
        JsonNode load = JSON.readTree(bytes);
        boolean isIdle = load.path("busy").asInt(1) == 0 && !load.path("draining").asBoolean();
        onAnswer.accept(isIdle);
      } catch (IOException e) {
        logger.atFine().withCause(e).log("malformed load report from target %s", holding.target());
      }
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean isSent, Exception cause) {
      logger.atFine().withCause(cause).log("target %s is unreachable", holding.target());
    }
  }
}
