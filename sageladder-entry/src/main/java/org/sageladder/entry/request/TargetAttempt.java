package org.sageladder.entry.request;

import java.time.Duration;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;

/** An attempt at a target whose slot is held. */
final class TargetAttempt extends RequestAttempt {
  private final Gate gate;
  private final Admission.Slot slot;
  private volatile boolean endedWell;

  TargetAttempt(RequestFlow flow, Gate gate, Admission.Slot slot) {
    super(flow);
    this.gate = gate;
    this.slot = slot;
  }

  @Override
  public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    var refusal = response.getFirstHeader(Headers.TARGET_REFUSED);
    if (response.getCode() == 503 && refusal != null) {
      boolean isDraining = "draining".equals(refusal.getValue());
      slot.release(isDraining ? Admission.Completion.LEAVING : Admission.Completion.REFUSED);
      retryOrRefuse("target refused: " + refusal.getValue(), true);
      RequestFlow.discard(body);
      return;
    }
    endedWell = response.getCode() < HttpStatus.SC_SERVER_ERROR;
    BasicHttpResponse forwarded = new BasicHttpResponse(response.getCode());
    EndToEndHeaders.copy(response, forwarded, false);
    forwarded.setHeader(Headers.TARGET, slot.target().target());
    LocalReplies.addResultHeaders(forwarded, ResultCode.OK);
    startRecording(forwarded, details, body);
    if (flow.forwardResponse(forwarded, details, body, Outcome.RAN)) {
      flow.recordEvent(EventKind.ANSWERED, slot.target().target(), "status " + response.getCode());
      flow.context().counters().countResult(flow.service().name(), ResultCode.OK);
    }
  }

  @Override
  public void onComplete() {
    slot.release(Admission.Completion.ANSWERED);
    if (endedWell) {
      flow.context().crashDetector().recordSuccess(flow::fingerprint);
    }
    if (isCurrent()) {
      endRunIfResponded(true);
      flow.finish();
    }
  }

  @Override
  public void onFailure(boolean isSent, Exception cause) {
    slot.release(isSent ? Admission.Completion.LOST : Admission.Completion.REFUSED);
    if (isSent && !flow.isEnded()) {
      flow.context().crashDetector().recordConnectionFailure(slot.target(), flow.fingerprint());
    }
    if (!isCurrent()) {
      return;
    }
    if (flow.isSettled()) {
      endRunIfResponded(false);
      flow.finish();
      return;
    }
    if (!isSent) {
      retryOrRefuse("cannot connect to the target: " + cause, false);
      return;
    }
    flow.recordEvent(EventKind.FAILED, slot.target().target(), String.valueOf(cause));
    flow.markAttemptLost();
    if (flow.service().repeatable() && flow.canRetry(true) && gate.tryAcquireRetry()) {
      flow.undoDispatch();
      retry(() -> flow.admit(gate, slot.target().target()));
      return;
    }
    flow.failUnknown(ResultCode.TARGET_LOST, "the connection to the target failed: " + cause);
  }

  private void retryOrRefuse(String reason, boolean isSent) {
    flow.recordEvent(EventKind.RETRIED, slot.target().target(), reason);
    if (flow.canRetry(isSent) && gate.tryAcquireRetry()) {
      flow.undoDispatch();
      retry(() -> flow.admit(gate, slot.target().target()));
    } else {
      flow.refuse(new Result.NotRun(ResultCode.TARGET_REFUSED, Duration.ofMillis(200), reason));
    }
  }
}
