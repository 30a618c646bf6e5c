package org.sageladder.entry.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.Decision;
import org.sageladder.core.permit.Execution;
import org.sageladder.core.permit.OpenedPermit;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.CallerExchange;

/**
 * Lets a non-repeatable request run at most once, and only where its permit allows it.
 *
 * <p>Only the issuer of a permit may report that its request was not run, because another copy may
 * have reached the issuer by another network path. Any other entry VM reports failures as unknown,
 * which makes the caller send the same permit again.
 */
public final class PermitEnforcer {
  private static final String DISPATCH_BINDING_PREFIX = "dispatch/";

  private final FlowContext context;
  private final ControlPlane control;
  private final PermitCodec codec;
  private final PermitHome issuer;
  private final PermitSuccessors successors;
  private volatile String issuerAddress = "";

  PermitEnforcer(
      FlowContext context,
      ControlPlane control,
      PermitCodec codec,
      PermitHome issuer,
      PermitSuccessors successors) {
    this.context = context;
    this.control = control;
    this.codec = codec;
    this.issuer = issuer;
    this.successors = successors;
  }

  /**
   * Sets the address at which callers and other entry VMs reach this issuer. Permits minted later
   * carry it.
   */
  void advertiseAddress(String hostAndPort) {
    issuerAddress = hostAndPort;
  }

  /** A new sealed permit, bound to the idempotency key if one is given; empty when stopping. */
  String mint(String service, String idempotencyKey) {
    Optional<Permit> minted =
        issuer.mint(
            context.customer(), service, keyDigest(idempotencyKey), context.time().wallMillis());
    if (minted.isEmpty()) {
      return "";
    }
    long sequence = minted.get().sequence();
    context
        .events()
        .record(EventKind.PERMIT_MINTED, "", context.customer(), service, sequence, idempotencyKey);
    return codec.seal(minted.get().withIssuerAddress(issuerAddress));
  }

  private static String keyDigest(String idempotencyKey) {
    return idempotencyKey.isEmpty()
        ? ""
        : Long.toHexString(Hashing.komihash5_0().hashCharsToLong(idempotencyKey));
  }

  /**
   * Starts the request and passes its flow to {@code run} if this copy may run; responds otherwise.
   */
  void runIfPermitted(
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> run)
      throws IOException {
    RequestCopy copy = new RequestCopy(exchange, head, service, run);
    if (!head.dispatchToken().isEmpty()) {
      handleDispatched(copy);
    } else if (head.permit().isEmpty()) {
      requirePermit(copy);
    } else {
      handleOpenedPermit(copy, codec.open(head.permit()));
    }
  }

  /** One copy of a request and the action that runs it. */
  private record RequestCopy(
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> run) {}

  /**
   * Runs a copy that the issuer forwarded because it holds no target, if the dispatch token is
   * valid.
   */
  private void handleDispatched(RequestCopy copy) throws IOException {
    OpenedPermit opened = codec.open(copy.head().dispatchToken());
    if (opened instanceof OpenedPermit.Valid valid
        && valid.permit().binding().equals(DISPATCH_BINDING_PREFIX + copy.head().id())
        && matches(valid.permit(), copy)) {
      copy.run().accept(RequestFlow.start(context, copy.exchange(), copy.head(), copy.service()));
      return;
    }
    respond(
        copy,
        Result.notRun(
            ResultCode.PERMIT_INVALID, "the dispatch token of the permit's issuer is invalid"));
  }

  private void requirePermit(RequestCopy copy) throws IOException {
    Result.NotRun result =
        Result.notRun(
            ResultCode.PERMIT_REQUIRED,
            copy.service().name()
                + " is not repeatable; send the request again with the permit in this response");
    respond(copy, result, mint(copy.service().name(), copy.head().idempotencyKey()));
  }

  private void handleOpenedPermit(RequestCopy copy, OpenedPermit opened) throws IOException {
    if (opened instanceof OpenedPermit.Invalid invalid) {
      respond(copy, Result.notRun(ResultCode.PERMIT_INVALID, invalid.reason()));
      return;
    }
    if (opened instanceof OpenedPermit.UnknownKey unknown) {
      // Without the key the address is not authenticated, so only a known member may get the
      // request.
      forwardToIssuer(copy, unknown.unverifiedPermit().withIssuerAddress(""));
      return;
    }
    Permit permit = ((OpenedPermit.Valid) opened).permit();
    if (!matches(permit, copy)) {
      respond(
          copy,
          Result.notRun(
              ResultCode.PERMIT_INVALID, "the permit is for service '" + permit.service() + "'"));
      return;
    }
    String bound = permit.binding();
    if (!bound.isEmpty() && !bound.equals(keyDigest(copy.head().idempotencyKey()))) {
      respond(
          copy,
          Result.notRun(
              ResultCode.PERMIT_INVALID,
              "the permit is for another idempotency key than '"
                  + copy.head().idempotencyKey()
                  + "'"));
      return;
    }
    applyDecision(
        copy,
        permit,
        issuer.beginExecution(permit, requestDigest(copy), context.time().wallMillis()));
  }

  private static boolean matches(Permit permit, RequestCopy copy) {
    return permit.service().equals(copy.service().name())
        && permit.customer().equals(copy.head().customer());
  }

  /** Digest of what all copies of a request have in common and two requests seldom do. */
  private static String requestDigest(RequestCopy copy) {
    EntityDetails entity = copy.exchange().entity();
    return copy.exchange().request().getMethod()
        + ' '
        + copy.head().path()
        + ' '
        + (entity == null ? 0 : entity.getContentLength())
        + ' '
        + copy.head().idempotencyKey();
  }

  private void applyDecision(RequestCopy copy, Permit permit, Decision decision)
      throws IOException {
    if (decision instanceof Decision.Execute execute) {
      recordEvent(EventKind.PERMIT_USED, copy, permit, "");
      copy.run()
          .accept(
              RequestFlow.startPermitted(
                  context,
                  copy.exchange(),
                  copy.head(),
                  copy.service(),
                  new IssuedPermitRun(
                      execute.execution(), copy.head().id(), copy.head().idempotencyKey())));
      return;
    }
    if (decision instanceof Decision.Foreign) {
      forwardToIssuer(copy, permit);
      return;
    }
    if (decision instanceof Decision.Moved moved) {
      forwardToSuccessor(copy, moved.successor());
      return;
    }
    recordEvent(EventKind.PERMIT_REPEATED, copy, permit, decision.getClass().getSimpleName());
    handleRepeat(copy, permit, decision);
  }

  private void handleRepeat(RequestCopy copy, Permit permit, Decision decision) throws IOException {
    if (decision instanceof Decision.Replay replay && replay.answer().isKept()) {
      discardBody(copy);
      context.counters().countResult(copy.service().name(), ResultCode.OK);
      ResponseRecording.replay(copy.exchange(), replay.answer());
    } else if (decision instanceof Decision.Replay) {
      respond(copy, new Result.Ran(ResultCode.ANSWER_NOT_KEPT));
    } else if (decision instanceof Decision.Running) {
      respond(
          copy,
          unknownResult(
              ResultCode.PERMIT_RUNNING, "an earlier copy is running; send the same permit again"));
    } else if (decision instanceof Decision.NotRun) {
      respond(
          copy,
          Result.notRun(
              ResultCode.PERMIT_REQUIRED,
              "this permit ended without a run; use the permit in this response"),
          mint(copy.service().name(), copy.head().idempotencyKey()));
    } else if (decision instanceof Decision.Mismatch mismatch) {
      respond(copy, Result.notRun(ResultCode.PERMIT_INVALID, mismatch.reason()));
    } else if (decision instanceof Decision.Expired) {
      respond(
          copy,
          unknownResult(
              ResultCode.PERMIT_EXPIRED, "the permit expired at " + permit.expiryMillis()));
    } else {
      respond(copy, unknownResult(ResultCode.OUTCOME_UNKNOWN, "an earlier copy may have run"));
    }
  }

  private void forwardToIssuer(RequestCopy copy, Permit permit) throws IOException {
    Optional<String> successor = successors.find(permit.issuer(), permit.incarnation());
    if (!copy.head().forwardedBy().isEmpty()) {
      reportIssuerLost(copy, permit.issuer());
      return;
    }
    if (successor.isPresent()) {
      forwardToMember(copy, successor.get(), permit.issuer());
      return;
    }
    Optional<Member> issuerAtAddress = issuerByAddress(permit);
    if (issuerAtAddress.isPresent()) {
      startForwarding(copy, issuerAtAddress.get());
      return;
    }
    forwardToMember(copy, permit.issuer(), permit.issuer());
  }

  /**
   * The issuer at the address that its permit carries.
   *
   * <p>Prevents HOME_LOST results for a healthy issuer: an entry VM that has just started mints
   * permits before the views of the others contain it, and a stale or partitioned view may lack it
   * for long. The MAC covers the address, which belongs to the very incarnation that decides.
   */
  private static Optional<Member> issuerByAddress(Permit permit) {
    int colon = permit.issuerAddress().lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String host = permit.issuerAddress().substring(0, colon);
    int port = Integer.parseInt(permit.issuerAddress().substring(colon + 1));
    return Optional.of(new Member(permit.issuer(), "", permit.incarnation(), host, port, 0, false));
  }

  /** Forwards even a request that was forwarded before, since the successor ends the chain. */
  private void forwardToSuccessor(RequestCopy copy, String successor) throws IOException {
    forwardToMember(copy, successor, context.vm());
  }

  private void forwardToMember(RequestCopy copy, String toVm, String issuerVm) throws IOException {
    Optional<Member> member = control.state().member(toVm);
    if (member.isEmpty() || toVm.equals(context.vm())) {
      reportIssuerLost(copy, issuerVm);
      return;
    }
    startForwarding(copy, member.get());
  }

  private void startForwarding(RequestCopy copy, Member issuer) {
    RequestFlow.start(context, copy.exchange(), copy.head(), copy.service())
        .forwardToIssuer(issuer);
  }

  private void reportIssuerLost(RequestCopy copy, String issuerVm) throws IOException {
    respond(
        copy,
        unknownResult(
            ResultCode.HOME_LOST,
            "entry VM " + issuerVm + ", which issued the permit, can no longer decide on it"));
  }

  /**
   * Turns a not-run result of an entry VM that is not the issuer of the permit into an unknown one:
   * this copy was not run, but another copy may have reached the issuer by another network path.
   */
  static Result unknownUnlessIssuer(Result result) {
    return result instanceof Result.NotRun notRun
        ? new Result.Unknown(
            ResultCode.HOME_LOST,
            "this copy was not run ("
                + notRun.code()
                + ": "
                + notRun.detail()
                + "), but the permit's issuer was not reached and may have run another copy;"
                + " send the same permit again")
        : result;
  }

  private static Result unknownResult(ResultCode code, String detail) {
    return new Result.Unknown(code, detail);
  }

  private void respond(RequestCopy copy, Result result) throws IOException {
    respond(copy, result, "");
  }

  private void respond(RequestCopy copy, Result result, String newPermit) throws IOException {
    context.counters().countResult(copy.service().name(), result.code());
    discardBody(copy);
    HttpResponse response = LocalReplies.responseHead(result);
    if (!newPermit.isEmpty() && result.code().outcome() == Outcome.NOT_RUN) {
      response.setHeader(Headers.PERMIT, newPermit);
    }
    LocalReplies.send(copy.exchange(), response, result);
  }

  private static void discardBody(RequestCopy copy) throws IOException {
    copy.exchange().requestBody().discard();
    copy.exchange().sendContinue();
  }

  private void recordEvent(EventKind kind, RequestCopy copy, Permit permit, String detail) {
    context
        .events()
        .record(
            kind,
            copy.head().id(),
            context.customer(),
            copy.service().name(),
            permit.sequence(),
            detail);
  }

  /** The run of a permit that this entry VM decides on. */
  private final class IssuedPermitRun implements PermitRun {
    private final Execution execution;
    private final String requestId;
    private final String idempotencyKey;

    IssuedPermitRun(Execution execution, String requestId, String idempotencyKey) {
      this.execution = execution;
      this.requestId = requestId;
      this.idempotencyKey = idempotencyKey;
    }

    @Override
    public void recordRan(RecordedAnswer answer) {
      recordEnd(execution.recordAnswer(answer), "ran");
    }

    @Override
    public void recordNotRun() {
      recordEnd(execution.recordNotRun(), "not run");
    }

    @Override
    public void recordUnknown() {
      recordEnd(execution.recordUnknown(), "unknown");
    }

    private void recordEnd(boolean isFirst, String outcome) {
      if (isFirst) {
        Permit permit = execution.permit();
        context
            .events()
            .record(
                EventKind.PERMIT_USED,
                requestId,
                context.customer(),
                permit.service(),
                permit.sequence(),
                outcome);
      }
    }

    @Override
    public String mintNewPermit() {
      return mint(execution.permit().service(), idempotencyKey);
    }

    @Override
    public String dispatchToken() {
      Permit permit = execution.permit();
      return codec.seal(
          new Permit(
              permit.issuer(),
              permit.incarnation(),
              permit.sequence(),
              permit.expiryMillis(),
              permit.customer(),
              permit.service(),
              DISPATCH_BINDING_PREFIX + requestId,
              ""));
    }
  }
}
