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
final class PeerLeg extends Leg {
  private final Member member;
  private final boolean toHome;

  PeerLeg(RequestFlow flow, Member member, boolean toHome) {
    super(flow);
    this.member = member;
    this.toHome = toHome;
  }

  @Override
  public void head(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    var said = response.getFirstHeader(Headers.OUTCOME);
    Outcome outcome = said == null ? Outcome.UNKNOWN : Answers.outcome(said.getValue());
    BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
    PassedHeaders.copy(response, passed, true);
    if (outcome == Outcome.RAN) {
      recordRun(passed, details, body);
    } else {
      flow.endRun(outcome == Outcome.NOT_RUN);
    }
    if (flow.passOn(passed, details, body, outcome)) {
      flow.record(EventKind.ANSWERED, member.vm(), "status " + response.getCode());
    }
  }

  @Override
  public void done() {
    endProvenRun(true);
    flow.finish();
  }

  @Override
  public void lost(boolean sent, Exception cause) {
    if (flow.isOver()) {
      endProvenRun(false);
      flow.finish();
      return;
    }
    if (toHome) {
      // Another copy may have reached the home: "not run" could be said by the home alone.
      flow.unknown(
          ResultCode.HOME_LOST,
          "entry VM " + member.vm() + ", home of the permit, cannot be reached: " + cause);
    } else if (sent) {
      flow.unknown(ResultCode.GATE_LOST, "entry VM " + member.vm() + " was lost: " + cause);
    } else {
      flow.refuse(
          new Result.NotRun(
              ResultCode.GATE_MOVED,
              Duration.ofMillis(500),
              "cannot connect to entry VM " + member.vm()));
    }
  }
}
