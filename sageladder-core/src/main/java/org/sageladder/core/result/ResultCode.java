package org.sageladder.core.result;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered results that callers and operators see, with the outcome that each one guarantees.
 *
 * <p>Example: {@code ResultCode.QUEUE_FULL.outcome() == Outcome.NOT_RUN}, so a caller may send the
 * request again. The table in {@code docs/RESULT-CODES.md} lists the same codes; a test compares
 * the two.
 */
public enum ResultCode {
  OK(0, 200, Outcome.RAN),

  MALFORMED_REQUEST(10, 400, Outcome.NOT_RUN),
  HEAD_TOO_LARGE(11, 431, Outcome.NOT_RUN),
  BODY_LENGTH_INVALID(12, 400, Outcome.NOT_RUN),
  UNKNOWN_CONTRACT(13, 404, Outcome.NOT_RUN),
  UNKNOWN_SERVICE(14, 404, Outcome.NOT_RUN),
  DEADLINE_REQUIRED(15, 400, Outcome.NOT_RUN),
  DEADLINE_INVALID(16, 400, Outcome.NOT_RUN),
  PERMIT_REQUIRED(17, 428, Outcome.NOT_RUN),
  PERMIT_INVALID(18, 400, Outcome.NOT_RUN),
  PERMIT_EXPIRED(19, 410, Outcome.UNKNOWN),
  UNKNOWN_ROUTE(20, 404, Outcome.NOT_RUN),
  UNKNOWN_BLOCK(21, 400, Outcome.NOT_RUN),
  HEAD_TOO_SLOW(22, 408, Outcome.NOT_RUN),
  BODY_TOO_LARGE(23, 413, Outcome.NOT_RUN),
  API_KEY_UNKNOWN(24, 401, Outcome.NOT_RUN),

  QUEUE_FULL(30, 503, Outcome.NOT_RUN),
  QUEUE_DEADLINE(31, 503, Outcome.NOT_RUN),
  SHIFT_CAP(32, 503, Outcome.NOT_RUN),
  NO_TARGET(33, 503, Outcome.NOT_RUN),
  TARGET_REFUSED(34, 503, Outcome.NOT_RUN),
  BACKGROUND_SHED(35, 503, Outcome.NOT_RUN),
  CANCELLED(36, 499, Outcome.NOT_RUN),
  LINK_LIMIT(37, 503, Outcome.NOT_RUN),
  QUOTA_EXCEEDED(38, 429, Outcome.NOT_RUN),
  MEMORY_SHORT(39, 503, Outcome.NOT_RUN),

  NO_CONTRACT_IN_FORCE(40, 503, Outcome.NOT_RUN),
  STOPPING(41, 503, Outcome.NOT_RUN),
  GATE_MOVED(42, 503, Outcome.NOT_RUN),
  QUARANTINED(43, 422, Outcome.NOT_RUN),
  RULES_OUT_OF_DATE(44, 503, Outcome.NOT_RUN),
  RELAY_UNAVAILABLE(45, 503, Outcome.NOT_RUN),

  TARGET_LOST(50, 502, Outcome.UNKNOWN),
  TARGET_TIMEOUT(51, 504, Outcome.UNKNOWN),
  HOME_LOST(52, 502, Outcome.UNKNOWN),
  GATE_LOST(53, 502, Outcome.UNKNOWN),
  PERMIT_RUNNING(54, 409, Outcome.UNKNOWN),
  OUTCOME_UNKNOWN(55, 409, Outcome.UNKNOWN),

  ANSWER_NOT_KEPT(60, 409, Outcome.RAN);

  private final int number;
  private final int httpStatus;
  private final Outcome outcome;

  ResultCode(int number, int httpStatus, Outcome outcome) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.outcome = outcome;
  }

  /** Stable number, 0 to 99; never reused for another meaning. */
  public int number() {
    return number;
  }

  /** HTTP status of this result if sageladder itself responds. */
  public int httpStatus() {
    return httpStatus;
  }

  /** What this result guarantees about whether the request ran. */
  public Outcome outcome() {
    return outcome;
  }

  /** The code with {@code number}, or empty if there is none. */
  public static Optional<ResultCode> ofNumber(int number) {
    return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
  }
}
