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
 * @param repeated requests that targets started more than once
 * @param falseNotRun requests said not to have run that a target did start
 * @param falseRan requests said to have run that no target started
 * @param foreign whole answers that belong to another request or are not whole
 */
public record Account(
    int whole,
    int ranUnseen,
    int notRun,
    int unknown,
    int repeated,
    int falseNotRun,
    int falseRan,
    int foreign) {

  /** Counts; {@code executions} must be read after the last request can have started. */
  public static Account of(Map<String, Workload.Ended> ended, Map<String, Integer> executions) {
    int[] n = new int[8];
    ended.forEach(
        (key, end) -> {
          int runs = executions.getOrDefault(key, 0);
          n[kind(end.answer())]++;
          n[4] += runs > 1 ? 1 : 0;
          n[5] += runs > 0 && end.answer() instanceof Answer.NotRun ? 1 : 0;
          n[6] += runs == 0 && ran(end.answer()) ? 1 : 0;
          n[7] += end.ownAnswer() ? 0 : 1;
        });
    return new Account(n[0], n[1], n[2], n[3], n[4], n[5], n[6], n[7]);
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
  public boolean holds() {
    return repeated == 0 && falseNotRun == 0 && falseRan == 0 && foreign == 0;
  }
}
