package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sageladder.core.result.ResultCode;

/** The caller's rules against a small model of permits' homes, networks that lose and delay. */
class RetryPolicyProperties {
  private static final int MAX_ATTEMPTS = 12;

  // A dealer's bid is sent; the connection breaks, or its home refuses, or the entry VM asked is
  // not the home, or a copy that seemed lost arrives late. However this falls out, the bid must not
  // run twice, and where the dealer is told that it was not run, no copy may run later.
  @Property(tries = 5000, seed = "20261202")
  void requestRunsAtMostOnceAndNotRunIsNeverWrong(@ForAll long seed) {
    PermitModel world = new PermitModel(new Random(seed));
    RetryPolicy rules = RetryPolicy.begin(true, world.mint());
    Answer answer = null;
    for (int i = 0; i < MAX_ATTEMPTS && answer == null; i++) {
      RetryPolicy.Step step = rules.onResult(world.attempt(rules.permit()));
      if (step instanceof RetryPolicy.Step.End end) {
        answer = end.answer();
      } else if (step instanceof RetryPolicy.Step.Resend again) {
        answer = i == MAX_ATTEMPTS - 1 ? again.answerIfExhausted() : null;
      } else {
        answer =
            i == MAX_ATTEMPTS - 1
                ? ((RetryPolicy.Step.RenewPermit) step).answerIfExhausted()
                : null;
        if (rules.lacksPermit()) {
          rules.usePermit(world.mint());
        }
      }
    }
    world.deliverAllDelayedCopies();
    assertTrue(world.executionCount <= 1, () -> "ran " + world.executionCount + " times");
    if (answer instanceof Answer.NotRun) {
      assertEquals(0, world.executionCount, "told not run");
    }
    if (answer instanceof Answer.Complete || answer instanceof Answer.RanAnswerUnavailable) {
      assertEquals(1, world.executionCount, "told that it ran");
    }
  }

  /** Homes keep one state per permit; copies in flight arrive now, late or never. */
  private static final class PermitModel {
    private enum State {
      FRESH,
      RUNNING,
      RAN,
      UNUSED,
      UNKNOWN
    }

    private final Random random;
    private final Map<String, State> states = new HashMap<>();
    private final Set<String> permitsOfLostIssuers = new HashSet<>();
    private final List<String> delayedPermits = new ArrayList<>();
    private int executionCount;

    PermitModel(Random random) {
      this.random = random;
    }

    String mint() {
      String permit = "p" + states.size();
      states.put(permit, State.FRESH);
      return permit;
    }

    AttemptResult attempt(String permit) {
      if (!delayedPermits.isEmpty() && random.nextInt(4) == 0) {
        deliverToIssuer(delayedPermits.remove(random.nextInt(delayedPermits.size())));
      }
      if (random.nextInt(30) == 0) {
        permitsOfLostIssuers.add(permit);
      }
      return switch (random.nextInt(6)) {
        case 0 -> new AttemptResult.NotSent("refused");
        case 1 -> refuseAtOtherEntryVm();
        case 2 -> {
          delayedPermits.add(permit);
          yield new AttemptResult.Lost("delayed");
        }
        case 3 -> {
          deliverToIssuer(permit);
          yield new AttemptResult.Lost("answer lost");
        }
        default -> deliverToIssuer(permit);
      };
    }

    private AttemptResult refuseAtOtherEntryVm() {
      ResultCode[] codes = {
        ResultCode.GATE_MOVED, ResultCode.STOPPING, ResultCode.NO_CONTRACT_IN_FORCE
      };
      return entryVmResult(codes[random.nextInt(codes.length)]);
    }

    private AttemptResult deliverToIssuer(String permit) {
      if (permitsOfLostIssuers.contains(permit)) {
        return entryVmResult(ResultCode.HOME_LOST);
      }
      return switch (states.getOrDefault(permit, State.UNUSED)) {
        case FRESH -> executeOrRefuse(permit);
        case RUNNING -> {
          states.put(permit, random.nextBoolean() ? State.RAN : State.RUNNING);
          yield entryVmResult(ResultCode.PERMIT_RUNNING);
        }
        case RAN -> entryVmResult(ResultCode.ANSWER_NOT_KEPT);
        case UNUSED -> entryVmResult(ResultCode.PERMIT_REQUIRED);
        case UNKNOWN -> entryVmResult(ResultCode.OUTCOME_UNKNOWN);
      };
    }

    private AttemptResult executeOrRefuse(String permit) {
      switch (random.nextInt(4)) {
        case 0 -> {
          states.put(permit, State.UNUSED);
          return entryVmResult(ResultCode.QUEUE_FULL);
        }
        case 1 -> {
          executionCount++;
          states.put(permit, State.UNKNOWN);
          return entryVmResult(ResultCode.TARGET_LOST);
        }
        case 2 -> {
          executionCount++;
          states.put(permit, State.RUNNING);
          return new AttemptResult.Lost("still running");
        }
        default -> {
          executionCount++;
          states.put(permit, State.RAN);
          return new AttemptResult.Complete(200, Map.of(), new byte[0], "t");
        }
      }
    }

    void deliverAllDelayedCopies() {
      delayedPermits.forEach(this::deliverToIssuer);
    }
  }

  private static AttemptResult entryVmResult(ResultCode code) {
    return new AttemptResult.EntryVmResult(code, Duration.ZERO, "", "");
  }

  @Example
  void newPermitIsRejectedWhileOldOneMayHaveRun() {
    RetryPolicy rules = RetryPolicy.begin(true, "p0");
    assertInstanceOf(
        RetryPolicy.Step.Resend.class, rules.onResult(new AttemptResult.Lost("connection cut")));
    assertThrows(IllegalStateException.class, () -> rules.usePermit("p1"));
    assertEquals("p0", rules.permit());
  }

  // The look-up's permit was kept too long by the caller and expired before it was first used.
  // Nothing can have run, so the caller may go on with a new one.
  @Example
  void permitThatExpiredUnusedIsRenewed() {
    RetryPolicy rules = RetryPolicy.begin(true, "p0");
    assertInstanceOf(
        RetryPolicy.Step.RenewPermit.class,
        rules.onResult(entryVmResult(ResultCode.PERMIT_EXPIRED)));
    assertTrue(rules.lacksPermit());
  }

  @Example
  void permitThatExpiredAfterLostAttemptEndsUnknown() {
    RetryPolicy rules = RetryPolicy.begin(true, "p0");
    assertInstanceOf(RetryPolicy.Step.Resend.class, rules.onResult(new AttemptResult.Lost("cut")));
    RetryPolicy.Step step = rules.onResult(entryVmResult(ResultCode.PERMIT_EXPIRED));
    Answer answer = assertInstanceOf(RetryPolicy.Step.End.class, step).answer();
    assertEquals("p0", assertInstanceOf(Answer.Unknown.class, answer).permit());
  }

  @Example
  void nonRetryableRefusalEndsRequest() {
    RetryPolicy rules = RetryPolicy.begin(false, "");
    RetryPolicy.Step step = rules.onResult(entryVmResult(ResultCode.UNKNOWN_SERVICE));
    assertInstanceOf(
        Answer.NotRun.class, assertInstanceOf(RetryPolicy.Step.End.class, step).answer());
  }

  // A bid runs at its permit's home, which says so and when to ask again. Every entry VM passes the
  // question on to that home, so the next one knows no better: asked at once it spends a question,
  // and a bid that runs for a while is given up as "asked too often".
  @Example
  void onlyRefusalAllowsImmediateSwitchToAnotherEntryVm() {
    RetryPolicy bid = RetryPolicy.begin(true, "p-1");
    RetryPolicy.Step running = bid.onResult(entryVmResult(ResultCode.PERMIT_RUNNING));
    assertFalse(assertInstanceOf(RetryPolicy.Step.Resend.class, running).isRefusal());
    RetryPolicy search = RetryPolicy.begin(false, "");
    RetryPolicy.Step full = search.onResult(entryVmResult(ResultCode.QUEUE_FULL));
    assertTrue(assertInstanceOf(RetryPolicy.Step.Resend.class, full).isRefusal());
  }
}
