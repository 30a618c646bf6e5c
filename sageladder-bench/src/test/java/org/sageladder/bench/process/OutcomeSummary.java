package org.sageladder.bench.process;

import java.util.Map;
import org.sageladder.client.Answer;

/**
 * Compares the outcomes reported to callers with the executions at the targets.
 *
 * @param complete complete responses
 * @param ranAnswerUnavailable requests reported as executed whose response is no longer available
 * @param notRun requests reported as not executed
 * @param unknown requests of unknown outcome
 * @param executedTwice requests that targets executed more than once
 * @param falseNotRun requests reported as not executed that a target did execute
 * @param falseRan requests reported as executed that no target executed
 * @param wrongAnswers responses reported as complete that are incomplete or belong to another
 *     request
 */
public record OutcomeSummary(
    int complete,
    int ranAnswerUnavailable,
    int notRun,
    int unknown,
    int executedTwice,
    int falseNotRun,
    int falseRan,
    int wrongAnswers) {

  /** Counts the outcomes; {@code executions} must be read when no request can start any more. */
  public static OutcomeSummary of(
      Map<String, Workload.CompletedRequest> requests, Map<String, Integer> executions) {
    int[] counts = new int[8];
    requests.forEach(
        (key, request) -> {
          int runs = executions.getOrDefault(key, 0);
          counts[counterIndex(request.answer())]++;
          counts[4] += runs > 1 ? 1 : 0;
          counts[5] += runs > 0 && request.answer() instanceof Answer.NotRun ? 1 : 0;
          counts[6] += runs == 0 && ran(request.answer()) ? 1 : 0;
          counts[7] += request.isOwnAnswer() ? 0 : 1;
        });
    return new OutcomeSummary(
        counts[0], counts[1], counts[2], counts[3], counts[4], counts[5], counts[6], counts[7]);
  }

  private static int counterIndex(Answer answer) {
    if (answer instanceof Answer.Complete) {
      return 0;
    }
    if (answer instanceof Answer.RanAnswerUnavailable) {
      return 1;
    }
    return answer instanceof Answer.NotRun ? 2 : 3;
  }

  private static boolean ran(Answer answer) {
    return answer instanceof Answer.Complete || answer instanceof Answer.RanAnswerUnavailable;
  }

  /** Number of all requests. */
  public int total() {
    return complete + ranAnswerUnavailable + notRun + unknown;
  }

  /** True if no request was executed twice and every reported outcome is correct. */
  public boolean isConsistent() {
    return executedTwice == 0 && falseNotRun == 0 && falseRan == 0 && wrongAnswers == 0;
  }
}
