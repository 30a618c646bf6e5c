package org.sageladder.entry.request;

import java.time.Duration;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;

/** A try at a target whose slot is held. */
final class TargetLeg extends Leg {
  private final Gate gate;
  private final Admission.Slot slot;

  TargetLeg(RequestFlow flow, Gate gate, Admission.Slot slot) {
    super(flow);
    this.gate = gate;
    this.slot = slot;
  }

  @Override
  public void head(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    var refusal = response.getFirstHeader(Headers.TARGET_REFUSED);
    if (response.getCode() == 503 && refusal != null) {
      boolean leaving = "draining".equals(refusal.getValue());
      slot.release(leaving ? Admission.Completion.LEAVING : Admission.Completion.REFUSED);
      refusedByTarget("target refused: " + refusal.getValue(), true);
      RequestFlow.discard(body);
      return;
    }
    BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
    PassedHeaders.copy(response, passed, false);
    passed.setHeader(Headers.TARGET, slot.target().target());
    Answers.mark(passed, ResultCode.OK);
    recordRun(passed, details, body);
    if (flow.passOn(passed, details, body, Outcome.RAN)) {
      flow.record(EventKind.ANSWERED, slot.target().target(), "status " + response.getCode());
      flow.parts().counters().result(flow.service().name(), ResultCode.OK);
    }
  }

  @Override
  public void done() {
    slot.release(Admission.Completion.ANSWERED);
    if (isCurrent()) {
      endProvenRun(true);
      flow.finish();
    }
  }

  @Override
  public void lost(boolean sent, Exception cause) {
    slot.release(sent ? Admission.Completion.LOST : Admission.Completion.REFUSED);
    if (sent && !flow.isEnded()) {
      flow.parts().crashes().cut(slot.target(), flow.fingerprint());
    }
    if (!isCurrent()) {
      return;
    }
    if (flow.isOver()) {
      endProvenRun(false);
      flow.finish();
      return;
    }
    if (!sent) {
      refusedByTarget("cannot connect to the target: " + cause, false);
      return;
    }
    flow.record(EventKind.FAILED, slot.target().target(), String.valueOf(cause));
    flow.markLostTry();
    if (flow.service().repeatable() && flow.mayTryAgain(true) && gate.tryAcquireRetry()) {
      flow.waitAgain();
      retry(() -> flow.admit(gate, slot.target().target()));
      return;
    }
    flow.unknown(ResultCode.TARGET_LOST, "the connection to the target failed: " + cause);
  }

  private void refusedByTarget(String why, boolean sent) {
    flow.record(EventKind.RETRIED, slot.target().target(), why);
    if (flow.mayTryAgain(sent) && gate.tryAcquireRetry()) {
      flow.waitAgain();
      retry(() -> flow.admit(gate, slot.target().target()));
    } else {
      flow.refuse(new Result.NotRun(ResultCode.TARGET_REFUSED, Duration.ofMillis(200), why));
    }
  }
}
