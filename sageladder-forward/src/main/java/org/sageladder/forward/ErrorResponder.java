package org.sageladder.forward;

import org.sageladder.core.event.EventKind;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;

/** Writes the response that sageladder itself gives to one request, once it is its turn. */
final class ErrorResponder {
  /** Retry delay of requests that would be refused again in any case. */
  static final long NO_RETRY_AFTER = -1;

  /** Clients that hold too much memory are disconnected within about this time. */
  private static final long MEMORY_RETRY_AFTER_MILLIS = 500;

  private final Forwarder forwarder;
  private final CallerConnection caller;
  private final ResponseTurn turn;
  private final RequestDeadline deadline;
  private final Exchange exchange;

  ErrorResponder(
      Forwarder forwarder,
      CallerConnection caller,
      ResponseTurn turn,
      RequestDeadline deadline,
      Exchange exchange) {
    this.forwarder = forwarder;
    this.caller = caller;
    this.turn = turn;
    this.deadline = deadline;
    this.exchange = exchange;
  }

  /**
   * Refuses the request, which has not run.
   *
   * @param retryAfterMillis suggested retry delay, or {@link #NO_RETRY_AFTER}
   */
  void refuse(ResultCode code, long retryAfterMillis, String reason) {
    boolean suggestsNone = retryAfterMillis == NO_RETRY_AFTER;
    long delayMillis = suggestsNone ? 0 : Math.max(1, addJitter(retryAfterMillis));
    respond(code, code.httpStatus(), delayMillis, reason);
  }

  /** Refuses a request that cannot be read completely, and closes the connection. */
  void refuseUnreadable(ResultCode code) {
    refuseAndClose(code, 0, "the request cannot be read");
  }

  /** Refuses the request since memory is short, and closes the connection. */
  void refuseForMemory() {
    long delayMillis = Math.max(1, addJitter(MEMORY_RETRY_AFTER_MILLIS));
    refuseAndClose(ResultCode.MEMORY_SHORT, delayMillis, "memory is short");
  }

  private void refuseAndClose(ResultCode code, long retryAfterMillis, String reason) {
    exchange.stopWaiting();
    turn.run(
        () -> write(new ErrorResponse(code, code.httpStatus(), retryAfterMillis, true), reason));
  }

  /** Responds with a status that may not be the code's own. */
  void respond(ResultCode code, int status, long retryAfterMillis, String reason) {
    exchange.stopWaiting();
    turn.run(
        () -> write(new ErrorResponse(code, status, retryAfterMillis, turn.mustClose()), reason));
  }

  /** Spreads a retry delay, so that callers do not return all at once. */
  long addJitter(long retryAfterMillis) {
    return deadline.retryAfterMillis(retryAfterMillis, forwarder.randomFraction());
  }

  private void write(ErrorResponse response, String reason) {
    caller.write(response.toHttpResponse(exchange.requestId(), forwarder.dialect()));
    boolean notRun = response.code().outcome() == Outcome.NOT_RUN;
    exchange.finish(
        notRun ? EventKind.REFUSED : EventKind.FAILED,
        null,
        response.code().name() + " " + reason,
        response.closesConnection());
  }
}
