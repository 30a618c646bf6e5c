package org.sageladder.entry.request;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpResponse;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.Decision;
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

/** Lets a request that must not repeat run only where its permit says, and only once. */
public final class Permits {
  private final FlowParts parts;
  private final ControlPlane control;
  private final PermitCodec codec;
  private final PermitHome home;

  Permits(FlowParts parts, ControlPlane control, PermitCodec codec, PermitHome home) {
    this.parts = parts;
    this.control = control;
    this.codec = codec;
    this.home = home;
  }

  /** A fresh sealed permit, bound to the idempotency key where one is given. */
  String mint(Contract.Service service, String idempotencyKey) {
    Permit permit =
        home.mint(parts.customer(), service.name(), idempotencyKey, parts.time().wallMillis());
    parts
        .events()
        .record(
            EventKind.PERMIT_MINTED,
            "",
            parts.customer(),
            service.name(),
            permit.sequence(),
            idempotencyKey);
    return codec.seal(permit);
  }

  /** Runs {@code carry} if this copy of the request may run; answers it otherwise. */
  void guard(
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> carry)
      throws IOException {
    if (head.permit().isEmpty()) {
      Result.NotRun result =
          Result.notRun(
              ResultCode.PERMIT_REQUIRED,
              service.name() + " must not repeat; send the request again with the permit given");
      HttpResponse answer = Answers.head(result);
      answer.setHeader(Headers.PERMIT, mint(service, head.idempotencyKey()));
      exchange.requestBody().discard();
      parts.counters().result(service.name(), result.code());
      Answers.send(exchange, answer, result);
      return;
    }
    OpenedPermit opened = codec.open(head.permit());
    if (!(opened instanceof OpenedPermit.Valid valid)) {
      String why =
          opened instanceof OpenedPermit.Invalid invalid ? invalid.reason() : "unknown key";
      refuse(exchange, service, Result.notRun(ResultCode.PERMIT_INVALID, why));
      return;
    }
    Permit permit = valid.permit();
    if (!permit.service().equals(service.name()) || !permit.customer().equals(head.customer())) {
      refuse(
          exchange,
          service,
          Result.notRun(
              ResultCode.PERMIT_INVALID, "the permit is for service '" + permit.service() + "'"));
      return;
    }
    String digest = exchange.request().getMethod() + ' ' + head.path();
    Decision decision = home.begin(permit, digest, parts.time().wallMillis());
    decide(decision, permit, exchange, head, service, carry);
  }

  private void decide(
      Decision decision,
      Permit permit,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> carry)
      throws IOException {
    if (decision instanceof Decision.Execute execute) {
      RequestFlow flow = RequestFlow.begin(parts, exchange, head, service);
      flow.whenKnown(
          outcome -> {
            switch (outcome) {
              case RAN -> execute.execution().finish(RecordedAnswer.notKept());
              case NOT_RUN -> execute.execution().notRun();
              default -> execute.execution().unknown();
            }
          });
      carry.accept(flow);
    } else if (decision instanceof Decision.Foreign foreign) {
      toHome(foreign, exchange, head, service, carry);
    } else if (decision instanceof Decision.Replay) {
      refuse(exchange, service, new Result.Ran(ResultCode.ANSWER_NOT_KEPT));
    } else if (decision instanceof Decision.Running) {
      refuse(exchange, service, unknown(ResultCode.PERMIT_RUNNING, "an earlier copy is running"));
    } else if (decision instanceof Decision.NotRun) {
      refuse(
          exchange,
          service,
          Result.notRun(ResultCode.PERMIT_REQUIRED, "this permit ended unused; ask for another"));
    } else if (decision instanceof Decision.Mismatch mismatch) {
      refuse(exchange, service, Result.notRun(ResultCode.PERMIT_INVALID, mismatch.reason()));
    } else if (decision instanceof Decision.Expired) {
      refuse(
          exchange,
          service,
          unknown(ResultCode.PERMIT_EXPIRED, "the permit expired at " + permit.expiryMillis()));
    } else {
      refuse(
          exchange, service, unknown(ResultCode.OUTCOME_UNKNOWN, "an earlier copy may have run"));
    }
  }

  private void toHome(
      Decision.Foreign foreign,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      Consumer<RequestFlow> carry)
      throws IOException {
    if (head.forwardedBy().equals(foreign.home())) {
      // The home has let this copy run and holds no target itself.
      carry.accept(RequestFlow.begin(parts, exchange, head, service));
      return;
    }
    Optional<Member> member = control.state().member(foreign.home());
    if (!head.forwardedBy().isEmpty()
        || member.isEmpty()
        || member.get().incarnation() != foreign.incarnation()) {
      refuse(
          exchange,
          service,
          unknown(
              ResultCode.HOME_LOST,
              "entry VM " + foreign.home() + ", which gave the permit, is not known any more"));
      return;
    }
    RequestFlow.begin(parts, exchange, head, service).forwardTo(member.get());
  }

  private static Result unknown(ResultCode code, String detail) {
    return new Result.Unknown(code, detail);
  }

  private void refuse(CallerExchange exchange, Contract.Service service, Result result)
      throws IOException {
    if (result.code().outcome() != Outcome.NOT_RUN) {
      parts
          .events()
          .record(
              EventKind.PERMIT_REPEATED,
              "",
              parts.customer(),
              service.name(),
              0,
              result.code().name());
    }
    parts.counters().result(service.name(), result.code());
    exchange.requestBody().discard();
    Answers.send(exchange, result);
  }
}
