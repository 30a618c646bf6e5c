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
 * Lets a request that must not repeat run only where its permit says, and only once.
 *
 * <p>Of a request with a permit only the permit's home says "not run": another copy may have
 * reached the home by another way. Everywhere else what goes wrong is told as "unknown", which asks
 * the caller to send the same permit again.
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
      FlowContext parts,
      ControlPlane control,
      PermitCodec codec,
      PermitHome home,
      PermitSuccessors successors) {
    this.context = parts;
    this.control = control;
    this.codec = codec;
    this.issuer = home;
    this.successors = successors;
  }

  /** Notes where callers and other entry VMs reach this home; permits minted later tell it. */
  void advertiseAddress(String hostAndPort) {
    issuerAddress = hostAndPort;
  }

  /** A fresh sealed permit, bound to the idempotency key if one is given; empty when stopping. */
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

  /** Runs {@code carry} if this copy of the request may run; answers it otherwise. */
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

  /** One copy of a request, and what to do if it may run. */
  private record RequestCopy(
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> run) {}

  /** The home let this copy run and holds no target itself; its word is sealed. */
  private void handleDispatched(RequestCopy copy) throws IOException {
    OpenedPermit opened = codec.open(copy.head().dispatchToken());
    if (opened instanceof OpenedPermit.Valid valid
        && valid.permit().binding().equals(DISPATCH_BINDING_PREFIX + copy.head().id())
        && matches(valid.permit(), copy)) {
      copy.run().accept(RequestFlow.start(context, copy.exchange(), copy.head(), copy.service()));
      return;
    }
    refuse(
        copy,
        Result.notRun(ResultCode.PERMIT_INVALID, "the word of the permit's home cannot be read"));
  }

  private void requirePermit(RequestCopy copy) throws IOException {
    Result.NotRun result =
        Result.notRun(
            ResultCode.PERMIT_REQUIRED,
            copy.service().name()
                + " must not repeat; send the request again with the permit given");
    refuse(copy, result, mint(copy.service().name(), copy.head().idempotencyKey()));
  }

  private void handleOpenedPermit(RequestCopy copy, OpenedPermit opened) throws IOException {
    if (opened instanceof OpenedPermit.Invalid invalid) {
      refuse(copy, Result.notRun(ResultCode.PERMIT_INVALID, invalid.reason()));
      return;
    }
    if (opened instanceof OpenedPermit.UnknownKey unknown) {
      // Nobody vouches for the address in it, so it is passed on to a known entry VM or not at all.
      forwardToIssuer(copy, unknown.unverifiedPermit().withIssuerAddress(""));
      return;
    }
    Permit permit = ((OpenedPermit.Valid) opened).permit();
    if (!matches(permit, copy)) {
      refuse(
          copy,
          Result.notRun(
              ResultCode.PERMIT_INVALID, "the permit is for service '" + permit.service() + "'"));
      return;
    }
    String bound = permit.binding();
    if (!bound.isEmpty() && !bound.equals(keyDigest(copy.head().idempotencyKey()))) {
      refuse(
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

  /** What every copy of one request has in common and two requests seldom have. */
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
      refuse(copy, new Result.Ran(ResultCode.ANSWER_NOT_KEPT));
    } else if (decision instanceof Decision.Running) {
      refuse(
          copy, unknownResult(ResultCode.PERMIT_RUNNING, "an earlier copy is running; ask again"));
    } else if (decision instanceof Decision.NotRun) {
      refuse(
          copy,
          Result.notRun(
              ResultCode.PERMIT_REQUIRED, "this permit ended without a run; use the one given"),
          mint(copy.service().name(), copy.head().idempotencyKey()));
    } else if (decision instanceof Decision.Mismatch mismatch) {
      refuse(copy, Result.notRun(ResultCode.PERMIT_INVALID, mismatch.reason()));
    } else if (decision instanceof Decision.Expired) {
      refuse(
          copy,
          unknownResult(
              ResultCode.PERMIT_EXPIRED, "the permit expired at " + permit.expiryMillis()));
    } else {
      refuse(copy, unknownResult(ResultCode.OUTCOME_UNKNOWN, "an earlier copy may have run"));
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
    Optional<Member> told = issuerByAddress(permit);
    if (told.isPresent()) {
      startForwarding(copy, told.get());
      return;
    }
    forwardToMember(copy, permit.issuer(), permit.issuer());
  }

  /**
   * The home at the address that its permit tells.
   *
   * <p>Guards against "home lost" of a home that is well: an entry VM that has just started mints
   * permits before the others' views name it, and a view that lags or is cut off may not name it
   * for long. The address is covered by the MAC and belongs to the very incarnation that decides.
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

  /** A home that has stopped passes on also what was passed to it: its successor ends the chain. */
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
    refuse(
        copy,
        unknownResult(
            ResultCode.HOME_LOST,
            "entry VM " + issuerVm + ", which gave the permit, does not answer for it any more"));
  }

  /**
   * What an entry VM that is not the home may say of a request with a permit: its own copy was not
   * run, but another one may have been, by another way.
   */
  static Result unknownUnlessIssuer(Result result) {
    return result instanceof Result.NotRun notRun
        ? new Result.Unknown(
            ResultCode.HOME_LOST,
            "the home was not asked and this copy was not run ("
                + notRun.code()
                + ": "
                + notRun.detail()
                + "); ask again with the same permit for the others")
        : result;
  }

  private static Result unknownResult(ResultCode code, String detail) {
    return new Result.Unknown(code, detail);
  }

  private void refuse(RequestCopy copy, Result result) throws IOException {
    refuse(copy, result, "");
  }

  private void refuse(RequestCopy copy, Result result, String newPermit) throws IOException {
    context.counters().countResult(copy.service().name(), result.code());
    discardBody(copy);
    HttpResponse answer = LocalReplies.responseHead(result);
    if (!newPermit.isEmpty() && result.code().outcome() == Outcome.NOT_RUN) {
      answer.setHeader(Headers.PERMIT, newPermit);
    }
    LocalReplies.send(copy.exchange(), answer, result);
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

  /** The run of one permit homed here. */
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

    private void recordEnd(boolean first, String how) {
      if (first) {
        Permit permit = execution.permit();
        context
            .events()
            .record(
                EventKind.PERMIT_USED,
                requestId,
                context.customer(),
                permit.service(),
                permit.sequence(),
                how);
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
