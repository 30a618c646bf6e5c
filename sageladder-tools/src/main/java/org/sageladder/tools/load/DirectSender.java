package org.sageladder.tools.load;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.RequestResult.Outcome;

/**
 * Baseline without sageladder: callers pick a target themselves, uniformly at random.
 *
 * <p>Like a simple caller, it makes up to three attempts, each at a randomly picked target. A
 * request that must not be repeated is not sent again once it may have run.
 */
final class DirectSender implements Sender {
  private static final int MAX_ATTEMPTS = 3;

  private final Map<String, List<TargetView>> targetsByRoute;
  private final Contract contract;
  private final boolean localOnly;
  private final HttpAsyncRequester requester;

  private DirectSender(Contract contract, List<TargetView> targets, boolean localOnly) {
    this.contract = contract;
    this.localOnly = localOnly;
    this.targetsByRoute = new HashMap<>();
    for (TargetView target : targets) {
      targetsByRoute.computeIfAbsent(routeOf(target), key -> new ArrayList<>()).add(target);
    }
    this.requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom().setIoThreadCount(2).setTcpNoDelay(true).build())
            .setDefaultMaxPerRoute(400)
            .setMaxTotal(10_000)
            .create();
    requester.start();
  }

  /** Creates a sender that picks among all targets of the service. */
  static DirectSender random(Contract contract, List<TargetView> targets) {
    return new DirectSender(contract, targets, false);
  }

  /** Creates a sender that picks among the targets in the caller's region only. */
  static DirectSender localOnly(Contract contract, List<TargetView> targets) {
    return new DirectSender(contract, targets, true);
  }

  private String routeOf(TargetView target) {
    String region =
        contract.regionOfZone(target.zone()).map(Contract.Region::name).orElse(target.zone());
    return localOnly ? target.service() + " " + region : target.service();
  }

  @Override
  public SendResult send(Arrival arrival) {
    long deadline = System.nanoTime() + arrival.deadline().toNanos();
    String route = localOnly ? arrival.service() + " " + arrival.region() : arrival.service();
    List<TargetView> targets = targetsByRoute.getOrDefault(route, List.of());
    if (targets.isEmpty()) {
      return new SendResult(Outcome.NOT_RUN, "NO_TARGET", "", 0);
    }
    SendResult lastResult = new SendResult(Outcome.NOT_RUN, "NOT_SENT", "", 0);
    boolean mayHaveRun = false;
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      TargetView target = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
      long remainingNanos = deadline - System.nanoTime();
      if (remainingNanos <= 0) {
        break;
      }
      lastResult = sendOnce(arrival, target, Duration.ofNanos(remainingNanos), attempt);
      mayHaveRun |= lastResult.outcome() == Outcome.UNKNOWN;
      boolean canRetry =
          lastResult.outcome() == Outcome.NOT_RUN
              || (lastResult.outcome() == Outcome.UNKNOWN && arrival.repeatable());
      if (!canRetry) {
        return lastResult;
      }
    }
    return mayHaveRun
        ? new SendResult(Outcome.UNKNOWN, lastResult.code(), "", lastResult.attempts())
        : lastResult;
  }

  private SendResult sendOnce(
      Arrival arrival, TargetView target, Duration remaining, int attempts) {
    TargetRequest request = TargetRequest.of(arrival);
    URI uri = target.address().resolve(request.path());
    AsyncRequestBuilder builder =
        arrival.repeatable()
            ? AsyncRequestBuilder.get(uri)
            : AsyncRequestBuilder.post(uri)
                .setEntity(request.body(), ContentType.APPLICATION_OCTET_STREAM);
    builder.addHeader("Request-Id", arrival.requestId());
    builder.addHeader("Deadline-Millis", String.valueOf(Math.max(1, remaining.toMillis())));
    Future<Message<HttpResponse, byte[]>> future =
        requester.execute(
            builder.build(),
            new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
            Timeout.of(remaining),
            null);
    try {
      Message<HttpResponse, byte[]> message = future.get(remaining.toNanos(), TimeUnit.NANOSECONDS);
      return classify(message, request, target, attempts);
    } catch (ExecutionException e) {
      boolean isConnectionRefused = e.getCause() instanceof java.net.ConnectException;
      String code = e.getCause().getClass().getSimpleName();
      return new SendResult(
          isConnectionRefused ? Outcome.NOT_RUN : Outcome.UNKNOWN, code, target.id(), attempts);
    } catch (TimeoutException e) {
      future.cancel(true);
      return new SendResult(Outcome.UNKNOWN, "DEADLINE", target.id(), attempts);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new SendResult(Outcome.UNKNOWN, "INTERRUPTED", target.id(), attempts);
    }
  }

  private static SendResult classify(
      Message<HttpResponse, byte[]> message,
      TargetRequest request,
      TargetView target,
      int attempts) {
    HttpResponse response = message.getHead();
    Header refusedHeader = response.getFirstHeader("Target-Refused");
    if (refusedHeader != null) {
      return new SendResult(Outcome.NOT_RUN, "TARGET_REFUSED", target.id(), attempts);
    }
    if (response.getCode() != 200) {
      return new SendResult(Outcome.UNKNOWN, "STATUS_" + response.getCode(), target.id(), attempts);
    }
    Header checksum = response.getFirstHeader(TargetRequest.CHECKSUM_HEADER);
    byte[] body = message.getBody() == null ? new byte[0] : message.getBody();
    boolean isCorrect = checksum != null && request.isAnsweredBy(checksum.getValue(), body);
    return new SendResult(isCorrect ? Outcome.WHOLE : Outcome.WRONG, "OK", target.id(), attempts);
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
