package org.sageladder.standin.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sageladder.standin.store.StoreFaults;
import org.sageladder.standin.target.TargetFaults;

/** Parsing and playing of fault scripts. */
class FaultScriptTest {
  private static FaultScript<TargetFaults> parse(String text) throws IOException {
    return FaultScript.parse("t.json", text, TargetFaults.none(), TargetFaults.class);
  }

  @Test
  void faultsNotNamedInAStepAreHealthy() throws IOException {
    FaultScript<TargetFaults> script =
        parse("[{\"atMillis\":0,\"faults\":{\"shed\":true}},{\"atMillis\":5,\"faults\":{}}]");
    assertEquals(TargetFaults.none().withShed(true), script.steps().get(0).faults());
    assertEquals(TargetFaults.none(), script.steps().get(1).faults());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{} | t.json: expected a list",
        "[{\"faults\":{}}] | step 0: atMillis",
        "[{\"atMillis\":-1,\"faults\":{}}] | step 0: atMillis -1: expected a whole number, at least 0",
        "[{\"atMillis\":5,\"faults\":{}},{\"atMillis\":5,\"faults\":{}}] | step 1: atMillis 5",
        "[{\"atMillis\":5,\"faults\":{\"sheds\":true}}] | fault \"sheds\" is unknown",
        "[{\"atMillis\":5,\"faults\":{\"slowFactor\":-2}}] | expected 0 or more",
      })
  void errorsNameTheFileAndTheStep(String script, String expected) {
    IOException error = assertThrows(IOException.class, () -> parse(script));
    assertTrue(error.getMessage().contains(expected), error.getMessage());
    assertTrue(error.getMessage().startsWith("t.json: "), error.getMessage());
  }

  @Test
  void stepsAreAppliedInOrder() throws Exception {
    FaultScript<StoreFaults> script =
        FaultScript.parse(
            "s.json",
            "[{\"atMillis\":0,\"faults\":{\"down\":true}},{\"atMillis\":30,\"faults\":{}}]",
            StoreFaults.none(),
            StoreFaults.class);
    BlockingQueue<StoreFaults> applied = new LinkedBlockingQueue<>();
    FaultScript.Playback playing = script.play(applied::add);
    assertEquals(StoreFaults.none().withDown(true), applied.poll(20, TimeUnit.SECONDS));
    assertEquals(StoreFaults.none(), applied.poll(20, TimeUnit.SECONDS));
    playing.close();
  }
}
