package org.sageladder.entry.stop;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.permit.HandOver;
import org.sageladder.core.permit.HandOverCodec;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;
import org.sageladder.entry.request.Headers;
import org.sageladder.entry.request.PeerRequestHandler;

/**
 * Transfers the states of the permits issued here to a successor and notifies the other entry VMs.
 */
public final class PermitHandOver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_SEND_ATTEMPTS = 5;
  private static final int MAX_NOTIFIED_PEERS = 16;

  private final String vm;
  private final String zone;
  private final String customer;
  private final ControlPlane control;
  private final PermitHome issuer;
  private final PermitCodec codec;
  private final PermitHome.Limits limits;
  private final RequestSender client;
  private final TimeSource time;
  private long endNanos;

  private PermitHandOver(
      String vm,
      String zone,
      String customer,
      ControlPlane control,
      PermitHome issuer,
      PermitCodec codec,
      PermitHome.Limits limits,
      RequestSender client,
      TimeSource time) {
    this.vm = vm;
    this.zone = zone;
    this.customer = customer;
    this.control = control;
    this.issuer = issuer;
    this.codec = codec;
    this.limits = limits;
    this.client = client;
    this.time = time;
  }

  /** Creates the hand-over of {@code issuer} without starting it. */
  public static PermitHandOver of(
      String vm,
      String zone,
      String customer,
      ControlPlane control,
      PermitHome issuer,
      PermitCodec codec,
      PermitHome.Limits limits,
      RequestSender client,
      TimeSource time) {
    return new PermitHandOver(vm, zone, customer, control, issuer, codec, limits, client, time);
  }

  /**
   * Closes the issuer, naming the first candidate that responds as its successor, and sends it the
   * states.
   *
   * @param newEndNanos monotonic time after which nothing more is sent
   * @return false if no successor has acknowledged the states: the outcomes of their permits stay
   *     unknown
   */
  public boolean run(long newEndNanos) throws InterruptedException {
    endNanos = newEndNanos;
    Optional<Member> successor = Optional.empty();
    for (Member candidate : stayingMembers()) {
      // Closing the issuer fixes its successor, so only a candidate that responds is chosen.
      if (notifySuccessor(candidate, candidate)) {
        successor = Optional.of(candidate);
        break;
      }
    }
    if (successor.isEmpty()) {
      logger.atWarning().log(
          "no entry VM responds, so the permits issued here cannot be handed over");
      return false;
    }
    Optional<HandOver> state = issuer.close(successor.get().vm(), time.wallMillis());
    boolean isAcknowledged = state.isPresent() && sendStates(successor.get(), state.get());
    announceSuccessor(successor.get());
    List<Member> nearest = stayingMembers();
    for (Member member : nearest.subList(0, Math.min(MAX_NOTIFIED_PEERS, nearest.size()))) {
      if (!member.vm().equals(successor.get().vm())) {
        notifySuccessor(member, successor.get());
      }
    }
    return isAcknowledged;
  }

  /** Notifies the entry VMs that are too many or too far away to be notified individually. */
  private void announceSuccessor(Member successor) {
    String token = codec.seal(token(PeerRequestHandler.SUCCESSOR_PATH, successor.vm()));
    control
        .messages()
        .broadcast(
            PeerRequestHandler.SUCCESSOR_TOPIC,
            vm + "/" + issuer.incarnation(),
            token.getBytes(StandardCharsets.US_ASCII),
            limits.lifetime().plus(limits.retention()));
  }

  private Permit token(String route, String successor) {
    long expiry = time.wallMillis() + limits.lifetime().plus(limits.retention()).toMillis();
    return new Permit(vm, issuer.incarnation(), 0, expiry, customer, route, successor, "");
  }

  /** Members that are not leaving, nearest first: own zone, own region, other regions. */
  private List<Member> stayingMembers() {
    ClusterState state = control.state();
    Contract contract = state.contracts().get(customer);
    List<String> zones = new ArrayList<>();
    zones.add(zone);
    if (contract != null) {
      contract.regionOfZone(zone).ifPresent(region -> zones.addAll(region.zones()));
      zones.addAll(contract.zones());
    }
    List<Member> members = new ArrayList<>();
    for (String each : zones.stream().distinct().toList()) {
      ZoneView view = state.views().get(each);
      if (view != null) {
        view.members().stream()
            .filter(member -> !member.isDraining() && !member.vm().equals(vm))
            .forEach(members::add);
      }
    }
    return members;
  }

  private boolean sendStates(Member successor, HandOver state) throws InterruptedException {
    byte[] bytes = HandOverCodec.encode(state);
    for (int i = 0; i < MAX_SEND_ATTEMPTS; i++) {
      // Idempotent: if only the acknowledgement was lost, the same bytes change nothing.
      if (putAndAwaitAcknowledgement(
          successor, PeerRequestHandler.HAND_OVER_PATH, successor.vm(), bytes)) {
        logger.atInfo().log(
            "handed over %d permits to %s in %d bytes",
            state.permitCount(), successor.vm(), bytes.length);
        return true;
      }
    }
    logger.atWarning().log("%s has not acknowledged the permits handed over to it", successor.vm());
    return false;
  }

  private boolean notifySuccessor(Member to, Member successor) throws InterruptedException {
    return putAndAwaitAcknowledgement(
        to, PeerRequestHandler.SUCCESSOR_PATH, successor.vm(), new byte[0]);
  }

  private boolean putAndAwaitAcknowledgement(Member to, String route, String successor, byte[] body)
      throws InterruptedException {
    long maxWaitNanos = Math.min(RESPONSE_TIMEOUT.toNanos(), endNanos - time.nanos());
    if (maxWaitNanos <= 0) {
      return false;
    }
    BasicHttpRequest request = new BasicHttpRequest("PUT", route);
    HttpHost host = new HttpHost(to.host(), to.port());
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    request.setHeader(Headers.DISPATCH_TOKEN, codec.seal(token(route, successor)));
    CompletableFuture<Boolean> acknowledged = new CompletableFuture<>();
    Runnable cancel =
        client.send(
            host,
            request,
            new BasicEntityDetails(body.length, ContentType.APPLICATION_OCTET_STREAM),
            BodyPipe.of(body),
            CONNECT_TIMEOUT,
            new Acknowledgement(acknowledged));
    try {
      return acknowledged.get(maxWaitNanos, TimeUnit.NANOSECONDS);
    } catch (ExecutionException | TimeoutException e) {
      cancel.run();
      return false;
    }
  }

  private record Acknowledgement(CompletableFuture<Boolean> acknowledged)
      implements RequestSender.Listener {
    @Override
    public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      acknowledged.complete(response.getCode() == 204);
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean isSent, Exception cause) {
      acknowledged.complete(false);
    }
  }
}
