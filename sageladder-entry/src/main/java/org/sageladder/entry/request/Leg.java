package org.sageladder.entry.request;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.entry.exchange.AnswerRecorder;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.Outbound;

/** One try: what is done with the news of one exchange. */
abstract class Leg implements Outbound.Listener {
  private static final int LARGEST_RECORDED = 1 << 16;

  final RequestFlow flow;
  private final AnswerRecorder recorder = AnswerRecorder.upTo(LARGEST_RECORDED);
  private volatile boolean retried;
  private volatile @Nullable Recording recording;

  Leg(RequestFlow flow) {
    this.flow = flow;
  }

  void retry(Runnable again) {
    retried = true;
    again.run();
  }

  boolean isCurrent() {
    return !retried;
  }

  /** Keeps a copy of an answer that proves a run, for repeats of its permit. */
  void recordRun(HttpResponse passed, @Nullable EntityDetails details, BodyPipe body) {
    if (flow.run() != null) {
      recording = Recording.begin(passed, details);
      body.record(recorder);
    }
  }

  /** Ends the permit's run if an answer had begun: cut or whole, it proves that a target ran. */
  boolean endProvenRun(boolean whole) {
    Recording begun = recording;
    PermitRun run = flow.run();
    if (run == null || begun == null) {
      return false;
    }
    run.ran(whole ? begun.end(recorder.body()) : RecordedAnswer.notKept());
    return true;
  }
}
