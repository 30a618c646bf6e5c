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

/**
 * Tests the retry policy against a model of permit issuers and of a network that loses and delays
 * messages.
 */
class RetryPolicyProperties {
  private static final int MAX_ATTEMPTS = 12;

  // Guards against running a request twice, or reporting "not run" although a copy of it runs
  // later. The connection may break, the issuer may refuse, another entry VM may be tried, or a
  // copy that seemed lost may arrive late.
  @Property(tries = 5000, seed = "20261202")
  void requestRunsAtMostOnceAndNotRunIsNeverWrong(@ForAll long seed) {
    PermitModel model = new PermitModel(new Random(seed));
    RetryPolicy policy = RetryPolicy.begin(true, model.mint());
    Answer answer = null;
    for (int i = 0; i < MAX_ATTEMPTS && answer == null; i++) {
      RetryPolicy.Step step = policy.onResult(model.attempt(policy.permit()));
      if (step instanceof RetryPolicy.Step.End end) {
        answer = end.answer();
      } else if (step instanceof RetryPolicy.Step.Resend resend) {
        answer = i == MAX_ATTEMPTS - 1 ? resend.answerIfExhausted() : null;
      } else {
        answer =
            i == MAX_ATTEMPTS - 1
                ? ((RetryPolicy.Step.RenewPermit) step).answerIfExhausted()
                : null;
        if (policy.lacksPermit()) {
          policy.usePermit(model.mint());
        }
      }
    }
    model.deliverAllDelayedCopies();
    assertTrue(model.executionCount <= 1, () -> "ran " + model.executionCount + " times");
    if (answer instanceof Answer.NotRun) {
      assertEquals(0, model.executionCount, "reported as not run");
    }
    if (answer instanceof Answer.Complete || answer instanceof Answer.RanAnswerUnavailable) {
      assertEquals(1, model.executionCount, "reported as run");
    }
  }

  /**
   * Keeps the state of each permit at its issuer; a request copy arrives at once, late or never.
   */
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
    RetryPolicy policy = RetryPolicy.begin(true, "p0");
    assertInstanceOf(
        RetryPolicy.Step.Resend.class, policy.onResult(new AttemptResult.Lost("connection cut")));
    assertThrows(IllegalStateException.class, () -> policy.usePermit("p1"));
    assertEquals("p0", policy.permit());
  }

  // The caller used the permit of a look-up only after it had expired. Nothing can have run under
  // it, so the caller may continue under a new one.
  @Example
  void permitThatExpiredUnusedIsRenewed() {
    RetryPolicy policy = RetryPolicy.begin(true, "p0");
    assertInstanceOf(
        RetryPolicy.Step.RenewPermit.class,
        policy.onResult(entryVmResult(ResultCode.PERMIT_EXPIRED)));
    assertTrue(policy.lacksPermit());
  }

  @Example
  void permitThatExpiredAfterLostAttemptEndsUnknown() {
    RetryPolicy policy = RetryPolicy.begin(true, "p0");
    assertInstanceOf(RetryPolicy.Step.Resend.class, policy.onResult(new AttemptResult.Lost("cut")));
    RetryPolicy.Step step = policy.onResult(entryVmResult(ResultCode.PERMIT_EXPIRED));
    Answer answer = assertInstanceOf(RetryPolicy.Step.End.class, step).answer();
    assertEquals("p0", assertInstanceOf(Answer.Unknown.class, answer).permit());
  }

  @Example
  void nonRetryableRefusalEndsRequest() {
    RetryPolicy policy = RetryPolicy.begin(false, "");
    RetryPolicy.Step step = policy.onResult(entryVmResult(ResultCode.UNKNOWN_SERVICE));
    assertInstanceOf(
        Answer.NotRun.class, assertInstanceOf(RetryPolicy.Step.End.class, step).answer());
  }

  // While a request runs, its permit issuer reports this with a retry-after time, and every entry
  // VM forwards the query to that issuer. Querying the next entry VM at once would only use up the
  // allowed queries, and a request that runs for a while would end with an unknown outcome.
  @Example
  void onlyRefusalAllowsImmediateSwitchToAnotherEntryVm() {
    RetryPolicy bidPolicy = RetryPolicy.begin(true, "p-1");
    RetryPolicy.Step running = bidPolicy.onResult(entryVmResult(ResultCode.PERMIT_RUNNING));
    assertFalse(assertInstanceOf(RetryPolicy.Step.Resend.class, running).isRefusal());
    RetryPolicy searchPolicy = RetryPolicy.begin(false, "");
    RetryPolicy.Step queueFull = searchPolicy.onResult(entryVmResult(ResultCode.QUEUE_FULL));
    assertTrue(assertInstanceOf(RetryPolicy.Step.Resend.class, queueFull).isRefusal());
  }
}
