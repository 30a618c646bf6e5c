package org.sageladder.entry.request;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.BodyRecorder;
import org.sageladder.entry.exchange.RequestSender;

/** One attempt to send a request; handles the events of its exchange. */
abstract class RequestAttempt implements RequestSender.Listener {
  private static final int MAX_RECORDED_BYTES = 1 << 16;

  final RequestFlow flow;
  private final BodyRecorder recorder = BodyRecorder.upTo(MAX_RECORDED_BYTES);
  private volatile boolean isRetried;
  private volatile @Nullable ResponseRecording recording;

  RequestAttempt(RequestFlow flow) {
    this.flow = flow;
  }

  void retry(Runnable startNext) {
    isRetried = true;
    startNext.run();
  }

  boolean isCurrent() {
    return !isRetried;
  }

  /** Starts to record a response that proves a run, for repeats of its permit. */
  void startRecording(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    if (flow.run() != null) {
      recording = ResponseRecording.start(response, details);
      body.record(recorder);
    }
  }

  /**
   * Ends the permit's run if a response has started. Complete or cut off, it proves that a target
   * ran the request.
   */
  boolean endRunIfResponded(boolean isComplete) {
    ResponseRecording started = recording;
    PermitRun run = flow.run();
    if (run == null || started == null) {
      return false;
    }
    run.recordRan(isComplete ? started.finish(recorder.body()) : RecordedAnswer.notKept());
    return true;
  }
}
