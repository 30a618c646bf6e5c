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
import org.sageladder.tools.load.Ending.What;

/**
 * A baseline without sageladder: callers pick a target themselves, evenly at random.
 *
 * <p>A refused request is sent to another target, up to three in all, as simple callers do; what
 * must not repeat is not sent again once it may have run.
 */
final class DirectSender implements Sender {
  private static final int MOST_TRIES = 3;

  private final Map<String, List<TargetView>> choices;
  private final Contract contract;
  private final boolean localOnly;
  private final HttpAsyncRequester requester;

  private DirectSender(Contract contract, List<TargetView> targets, boolean localOnly) {
    this.contract = contract;
    this.localOnly = localOnly;
    this.choices = new HashMap<>();
    for (TargetView target : targets) {
      choices.computeIfAbsent(keyOf(target), key -> new ArrayList<>()).add(target);
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

  /** Callers who choose among all targets of the service. */
  static DirectSender random(Contract contract, List<TargetView> targets) {
    return new DirectSender(contract, targets, false);
  }

  /** Callers who choose among the targets of their own region only. */
  static DirectSender localOnly(Contract contract, List<TargetView> targets) {
    return new DirectSender(contract, targets, true);
  }

  private String keyOf(TargetView target) {
    String region =
        contract.regionOfZone(target.zone()).map(Contract.Region::name).orElse(target.zone());
    return localOnly ? target.service() + " " + region : target.service();
  }

  @Override
  public Outcome send(Arrival arrival) {
    long deadline = System.nanoTime() + arrival.deadline().toNanos();
    String key = localOnly ? arrival.service() + " " + arrival.region() : arrival.service();
    List<TargetView> targets = choices.getOrDefault(key, List.of());
    if (targets.isEmpty()) {
      return new Outcome(What.NOT_RUN, "NO_TARGET", "", 0);
    }
    Outcome last = new Outcome(What.NOT_RUN, "NOT_SENT", "", 0);
    boolean mayHaveRun = false;
    for (int tries = 1; tries <= MOST_TRIES; tries++) {
      TargetView target = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
      long left = deadline - System.nanoTime();
      if (left <= 0) {
        break;
      }
      last = once(arrival, target, Duration.ofNanos(left), tries);
      mayHaveRun |= last.what() == What.UNKNOWN;
      boolean again =
          last.what() == What.NOT_RUN || (last.what() == What.UNKNOWN && arrival.repeatable());
      if (!again) {
        return last;
      }
    }
    return mayHaveRun ? new Outcome(What.UNKNOWN, last.code(), "", last.tries()) : last;
  }

  private Outcome once(Arrival arrival, TargetView target, Duration left, int tries) {
    TargetRequest request = TargetRequest.of(arrival);
    URI uri = target.address().resolve(request.path());
    AsyncRequestBuilder builder =
        arrival.repeatable()
            ? AsyncRequestBuilder.get(uri)
            : AsyncRequestBuilder.post(uri)
                .setEntity(request.body(), ContentType.APPLICATION_OCTET_STREAM);
    builder.addHeader("Request-Id", arrival.key());
    builder.addHeader("Deadline-Millis", String.valueOf(Math.max(1, left.toMillis())));
    Future<Message<HttpResponse, byte[]>> future =
        requester.execute(
            builder.build(),
            new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
            Timeout.of(left),
            null);
    try {
      Message<HttpResponse, byte[]> message = future.get(left.toNanos(), TimeUnit.NANOSECONDS);
      return judge(message, request, target, tries);
    } catch (ExecutionException e) {
      boolean refused = e.getCause() instanceof java.net.ConnectException;
      String code = e.getCause().getClass().getSimpleName();
      return new Outcome(refused ? What.NOT_RUN : What.UNKNOWN, code, target.id(), tries);
    } catch (TimeoutException e) {
      future.cancel(true);
      return new Outcome(What.UNKNOWN, "DEADLINE", target.id(), tries);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Outcome(What.UNKNOWN, "INTERRUPTED", target.id(), tries);
    }
  }

  private static Outcome judge(
      Message<HttpResponse, byte[]> message, TargetRequest request, TargetView target, int tries) {
    HttpResponse head = message.getHead();
    Header refused = head.getFirstHeader("Target-Refused");
    if (refused != null) {
      return new Outcome(What.NOT_RUN, "TARGET_REFUSED", target.id(), tries);
    }
    if (head.getCode() != 200) {
      return new Outcome(What.UNKNOWN, "STATUS_" + head.getCode(), target.id(), tries);
    }
    Header checksum = head.getFirstHeader(TargetRequest.CHECKSUM);
    byte[] body = message.getBody() == null ? new byte[0] : message.getBody();
    boolean right = checksum != null && request.isAnsweredBy(checksum.getValue(), body);
    return new Outcome(right ? What.WHOLE : What.WRONG, "OK", target.id(), tries);
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
