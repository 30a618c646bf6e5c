package org.sageladder.bench.process;

import java.util.Map;
import org.sageladder.client.Answer;

/**
 * What callers were told held against what targets ran.
 *
 * @param whole whole answers
 * @param ranUnseen requests that ran and whose answer was no longer to be had
 * @param notRun requests said not to have run
 * @param unknown requests of unknown outcome
 * @param executedTwice requests that targets started more than once
 * @param falseNotRun requests said not to have run that a target did start
 * @param falseRan requests said to have run that no target started
 * @param wrongAnswers whole answers that belong to another request or are not whole
 */
public record OutcomeSummary(
    int whole,
    int ranUnseen,
    int notRun,
    int unknown,
    int executedTwice,
    int falseNotRun,
    int falseRan,
    int wrongAnswers) {

  /** Counts; {@code executions} must be read after the last request can have started. */
  public static OutcomeSummary of(
      Map<String, Workload.CompletedRequest> requests, Map<String, Integer> executions) {
    int[] counts = new int[8];
    requests.forEach(
        (key, request) -> {
          int runs = executions.getOrDefault(key, 0);
          counts[kind(request.answer())]++;
          counts[4] += runs > 1 ? 1 : 0;
          counts[5] += runs > 0 && request.answer() instanceof Answer.NotRun ? 1 : 0;
          counts[6] += runs == 0 && ran(request.answer()) ? 1 : 0;
          counts[7] += request.isOwnAnswer() ? 0 : 1;
        });
    return new OutcomeSummary(
        counts[0], counts[1], counts[2], counts[3], counts[4], counts[5], counts[6], counts[7]);
  }

  private static int kind(Answer answer) {
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

  /** All answers together. */
  public int total() {
    return whole + ranUnseen + notRun + unknown;
  }

  /** True where nothing ran twice and every statement to a caller was true. */
  public boolean isConsistent() {
    return executedTwice == 0 && falseNotRun == 0 && falseRan == 0 && wrongAnswers == 0;
  }
}
