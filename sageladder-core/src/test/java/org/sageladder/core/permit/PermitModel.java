package org.sageladder.core.permit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A model of one permit, its issuer, two possible successors, a target, and the answers given to
 * callers. The explorer and the properties run it step by step and check it after each step.
 */
final class PermitModel {
  static final PermitHome.Limits LIMITS =
      new PermitHome.Limits(
          Duration.ofMillis(20), Duration.ofMillis(5), Duration.ofMillis(10), 1 << 10);
  private static final String DIGEST = "POST /donations 1";
  private static final RecordedAnswer ANSWER =
      RecordedAnswer.complete(201, List.of(), new byte[] {7});
  private static final long START = 1_000;
  private static final long LATEST = START + 56;

  /** The steps that may occur. */
  enum Step {
    COPY_AT_ISSUER,
    COPY_AT_SUCCESSORS,
    TARGET_RUNS,
    TARGET_REFUSES,
    ANSWER_ARRIVES,
    ANSWER_IS_LOST,
    ORPHAN_RUNS,
    CLOSE_TO_B,
    CLOSE_TO_C,
    HAND_OVER_ARRIVES,
    ISSUER_RESTARTS,
    TIME_PASSES,
    CLOCK_JUMPS_BACK
  }

  private record Attempt(Execution execution, PermitHome vm) {}

  private record Message(PermitHome to, String name, HandOver state) {}

  private final PermitHome successorB = PermitHome.of("b", 1, LIMITS);
  private final PermitHome successorC = PermitHome.of("c", 1, LIMITS);
  private PermitHome issuer = PermitHome.of("a", 1, LIMITS);
  private final Permit permit = issuer.mint("kannelkoda", "donations", START).orElseThrow();
  private final List<Attempt> dispatched = new ArrayList<>();
  private final List<Attempt> ran = new ArrayList<>();
  private final List<Message> messages = new ArrayList<>();
  private long now = START;
  private int orphans;
  private int executions;
  private boolean hasAnsweredNotRun;
  private boolean hasAnsweredRan;

  /** Applies a step; returns false if it cannot occur now. */
  boolean apply(Step step) {
    return switch (step) {
      case COPY_AT_ISSUER -> copyArrivesAt(issuer);
      case COPY_AT_SUCCESSORS -> copyArrivesAt(successorB) && copyArrivesAt(successorC);
      case TARGET_RUNS -> targetRuns();
      case TARGET_REFUSES -> targetRefuses();
      case ANSWER_ARRIVES -> answerArrives();
      case ANSWER_IS_LOST -> !ran.isEmpty() && ran.get(0).execution().recordUnknown();
      case ORPHAN_RUNS -> orphanRuns();
      case CLOSE_TO_B -> close(successorB, "b");
      case CLOSE_TO_C -> close(successorC, "c");
      case HAND_OVER_ARRIVES -> handOverArrives();
      case ISSUER_RESTARTS -> issuerRestarts();
      case TIME_PASSES -> moveClock(7);
      case CLOCK_JUMPS_BACK -> moveClock(-21);
    };
  }

  private boolean copyArrivesAt(PermitHome vm) {
    Decision decision = vm.beginExecution(permit, DIGEST, now);
    if (decision instanceof Decision.Execute execute) {
      dispatched.add(new Attempt(execute.execution(), vm));
    } else if (decision instanceof Decision.NotRun) {
      hasAnsweredNotRun = true;
    } else if (decision instanceof Decision.Replay) {
      hasAnsweredRan = true;
    }
    return true;
  }

  private boolean targetRuns() {
    if (dispatched.isEmpty()) {
      return false;
    }
    executions++;
    return ran.add(dispatched.remove(0));
  }

  private boolean targetRefuses() {
    if (dispatched.isEmpty()) {
      return false;
    }
    hasAnsweredNotRun |= dispatched.remove(0).execution().recordNotRun();
    return true;
  }

  private boolean answerArrives() {
    if (ran.isEmpty()) {
      return false;
    }
    hasAnsweredRan |= ran.remove(0).execution().recordAnswer(ANSWER);
    return true;
  }

  private boolean orphanRuns() {
    if (orphans == 0) {
      return false;
    }
    orphans--;
    executions++;
    return true;
  }

  private boolean close(PermitHome to, String name) {
    Optional<HandOver> state = issuer.close(name, now);
    if (messages.size() < 2) {
      state.ifPresent(each -> messages.add(0, new Message(to, name, each)));
    }
    return true;
  }

  /** Delivers all hand-over messages. They are kept, since they may be sent again. */
  private boolean handOverArrives() {
    for (Message message : messages) {
      message.to().adopt(message.state());
    }
    return !messages.isEmpty();
  }

  /**
   * Restarts the issuer. Requests that the dead process had dispatched may still run, but no answer
   * is received.
   */
  private boolean issuerRestarts() {
    PermitHome dead = issuer;
    orphans += (int) dispatched.stream().filter(each -> each.vm() == dead).count();
    dispatched.removeIf(each -> each.vm() == dead);
    ran.removeIf(each -> each.vm() == dead);
    issuer = PermitHome.of("a", 2, LIMITS);
    return true;
  }

  private boolean moveClock(long millis) {
    now += millis;
    return now >= START && now <= LATEST;
  }

  /** The invariant that is violated, or empty. */
  Optional<String> violation() {
    if (executions > 1) {
      return Optional.of("the request ran " + executions + " times");
    }
    if (hasAnsweredNotRun && executions > 0) {
      return Optional.of("answered not run, but it ran");
    }
    if (hasAnsweredNotRun && (!dispatched.isEmpty() || orphans > 0)) {
      return Optional.of("answered not run, but a copy may still run");
    }
    if (hasAnsweredRan && executions == 0) {
      return Optional.of("answered ran, but it did not run");
    }
    return Optional.empty();
  }

  /**
   * Contains everything that determines the further behaviour; models with equal text need not be
   * explored twice.
   */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    text.append(issuer)
        .append(successorB)
        .append(successorC)
        .append(now)
        .append(' ')
        .append(orphans);
    text.append(executions).append(hasAnsweredNotRun).append(hasAnsweredRan);
    dispatched.forEach(each -> text.append(" sent by ").append(each.vm()));
    ran.forEach(each -> text.append(" ran for ").append(each.vm()));
    messages.forEach(each -> text.append(each.name()).append(each.state().permitCount()));
    return text.toString();
  }
}
