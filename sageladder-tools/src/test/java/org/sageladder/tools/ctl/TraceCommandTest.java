package org.sageladder.tools.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.platform.settings.ExitCode;

/** Tests that {@code trace} finds the cause of a request's result. */
class TraceCommandTest {
  private static final String LOG =
      """
      {"at":1000,"vm":"e-1","kind":"STORE_DOWN","subject":"store","detail":"watch: no answer"}
      {"at":4900,"vm":"e-1","kind":"ANSWERED","request":"other","subject":"t-1","detail":"status 200"}
      {"at":5000,"vm":"e-1","kind":"FAILED","request":"r-7","subject":"t-1","detail":"reset by peer"}
      {"at":5080,"vm":"e-1","kind":"TARGET_CRASHED","subject":"t-1","detail":"1 requests lost"}
      {"at":5090,"vm":"e-1","kind":"TARGET_CRASHED","subject":"t-2","detail":"1 requests lost"}
      {"at":5010,"vm":"e-1","kind":"FAILED","request":"r-7","detail":"TARGET_LOST after 300 ms, sends 1"}
      {"at":5020,"vm":"e-2","kind":"STOPPING","subject":"e-2","detail":"3 in flight"}
      some other line
      {"at":5040,"vm":"e-1","kind":"ANSWERED","request":"cut off by the end of its pro
      """;

  // Kept apart from the results: an error contains the file's path, whose random part may contain
  // the name of a target.
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private ExitCode run(Path directory, String id) throws Exception {
    Path file = directory.resolve("e-1.log");
    Files.writeString(file, LOG);
    PrintStream results = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
    return Ctl.run(new String[] {"trace", id, file.toString()}, results, errors);
  }

  /**
   * A request got status 502 because its target had crashed; its entry VM detected the crash 80 ms
   * later.
   */
  @Test
  void printsTheRequestWithRelatedEventsOfItsTargetAndVm(@TempDir Path directory) throws Exception {
    assertEquals(ExitCode.OK, run(directory, "r-7"));
    String text = out.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("reset by peer"), text);
    assertTrue(text.indexOf("TARGET_LOST") < text.indexOf("TARGET_CRASHED"), text);
    assertTrue(text.contains("+80 ms"), text);
    assertFalse(text.contains("t-2"), "another target: " + text);
    assertFalse(text.contains("status 200"), "another request: " + text);
    assertFalse(text.contains("STOPPING"), "another VM: " + text);
    assertFalse(text.contains("STORE_DOWN"), "too old: " + text);
    String errors = err.toString(StandardCharsets.UTF_8);
    assertTrue(errors.contains("1 lines skipped because they are truncated"), errors);
  }

  @Test
  void requestWithoutLogLinesIsNotFound(@TempDir Path directory) throws Exception {
    assertEquals(ExitCode.NOT_FOUND, run(directory, "r-8"));
    assertTrue(
        out.toString(StandardCharsets.UTF_8).contains("no log line for request 'r-8' among 7"));
  }
}
