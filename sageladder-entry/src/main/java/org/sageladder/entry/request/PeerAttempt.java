package org.sageladder.entry.request;

import java.time.Duration;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.membership.Member;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;

/**
 * An attempt through another entry VM: one that holds a target of the service, or the issuer of the
 * permit.
 */
final class PeerAttempt extends RequestAttempt {
  private final Member peer;
  private final boolean isToIssuer;

  PeerAttempt(RequestFlow flow, Member peer, boolean toIssuer) {
    super(flow);
    this.peer = peer;
    this.isToIssuer = toIssuer;
  }

  @Override
  public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    var outcomeHeader = response.getFirstHeader(Headers.OUTCOME);
    Outcome outcome =
        outcomeHeader == null
            ? Outcome.UNKNOWN
            : LocalReplies.parseOutcome(outcomeHeader.getValue());
    BasicHttpResponse forwarded = new BasicHttpResponse(response.getCode());
    EndToEndHeaders.copy(response, forwarded, true);
    if (outcome == Outcome.RAN) {
      startRecording(forwarded, details, body);
    } else {
      flow.endRun(outcome == Outcome.NOT_RUN);
    }
    if (flow.forwardResponse(forwarded, details, body, outcome)) {
      flow.recordEvent(EventKind.ANSWERED, peer.vm(), "status " + response.getCode());
    }
  }

  @Override
  public void onComplete() {
    endRunIfResponded(true);
    flow.finish();
  }

  @Override
  public void onFailure(boolean isSent, Exception cause) {
    if (flow.isSettled()) {
      endRunIfResponded(false);
      flow.finish();
      return;
    }
    if (isToIssuer) {
      // Another copy may have reached the issuer, so only the issuer can report not-run.
      flow.failUnknown(
          ResultCode.HOME_LOST,
          "entry VM " + peer.vm() + ", issuer of the permit, cannot be reached: " + cause);
    } else if (isSent) {
      flow.failUnknown(
          ResultCode.GATE_LOST, "the connection to entry VM " + peer.vm() + " failed: " + cause);
    } else {
      flow.refuse(
          new Result.NotRun(
              ResultCode.GATE_MOVED,
              Duration.ofMillis(500),
              "cannot connect to entry VM " + peer.vm()));
    }
  }
}
