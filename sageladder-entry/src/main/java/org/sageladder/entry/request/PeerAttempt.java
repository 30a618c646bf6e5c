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

/** A try through another entry VM: the holder of a gate, or the home of the permit. */
final class PeerAttempt extends RequestAttempt {
  private final Member peer;
  private final boolean toIssuer;

  PeerAttempt(RequestFlow flow, Member member, boolean toHome) {
    super(flow);
    this.peer = member;
    this.toIssuer = toHome;
  }

  @Override
  public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    var said = response.getFirstHeader(Headers.OUTCOME);
    Outcome outcome = said == null ? Outcome.UNKNOWN : LocalReplies.parseOutcome(said.getValue());
    BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
    EndToEndHeaders.copy(response, passed, true);
    if (outcome == Outcome.RAN) {
      startRecording(passed, details, body);
    } else {
      flow.endRun(outcome == Outcome.NOT_RUN);
    }
    if (flow.forwardResponse(passed, details, body, outcome)) {
      flow.recordEvent(EventKind.ANSWERED, peer.vm(), "status " + response.getCode());
    }
  }

  @Override
  public void onComplete() {
    endRunIfResponded(true);
    flow.finish();
  }

  @Override
  public void onFailure(boolean sent, Exception cause) {
    if (flow.isSettled()) {
      endRunIfResponded(false);
      flow.finish();
      return;
    }
    if (toIssuer) {
      // Another copy may have reached the home: "not run" could be said by the home alone.
      flow.failUnknown(
          ResultCode.HOME_LOST,
          "entry VM " + peer.vm() + ", home of the permit, cannot be reached: " + cause);
    } else if (sent) {
      flow.failUnknown(ResultCode.GATE_LOST, "entry VM " + peer.vm() + " was lost: " + cause);
    } else {
      flow.refuse(
          new Result.NotRun(
              ResultCode.GATE_MOVED,
              Duration.ofMillis(500),
              "cannot connect to entry VM " + peer.vm()));
    }
  }
}
