package org.sageladder.tools.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.standin.store.StoreFaults;
import org.sageladder.standin.store.StoreServer;

class CtlTest {
  private static final String VALID_CONTRACT =
      Path.of("..", "contracts", "kannelkoda.yaml").toString();

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private StoreServer store;

  @BeforeEach
  void startStore() throws Exception {
    store = StoreServer.start("127.0.0.1", 0);
  }

  @AfterEach
  void stopStore() {
    store.close();
  }

  @Test
  void helpGroupsCommands() {
    assertEquals(ExitCode.OK, run("--help"));
    assertTrue(out().contains("Contracts:\n  check FILE..."), out());
    assertTrue(out().contains("The running system:\n  status"), out());
  }

  @Test
  void misspeltCommandGetsASuggestion() {
    assertEquals(ExitCode.USAGE, run("aply", VALID_CONTRACT));
    assertTrue(err().startsWith("sageladderctl: no command 'aply'; did you mean 'apply'?"), err());
  }

  @Test
  void checkNeedsNoStoreAndNamesEachProblem(@TempDir Path directory) throws Exception {
    Path bad = changed(directory, "retryFraction: 0\n", "retryFraction: 0.2\n");

    assertEquals(ExitCode.OK, run("check", VALID_CONTRACT));
    assertEquals(ExitCode.BAD_CONTRACT, run("check", VALID_CONTRACT, bad.toString()));
    assertTrue(err().contains("services[donation-cataloguing].retryFraction"), err());
  }

  @Test
  void appliedContractAppearsInDiffHistoryAndShow(@TempDir Path directory) throws Exception {
    assertEquals(ExitCode.OK, run("apply", VALID_CONTRACT, "--store", uri(), "--author", "maie"));
    Path wider = changed(directory, "queueWait: 2s", "queueWait: 3s");

    assertEquals(ExitCode.VERDICT_FAILED, run("diff", wider.toString(), "--store", uri()));
    assertTrue(out().contains("services[donation-cataloguing].queueWait: 2s -> 3s"), out());
    assertEquals(
        ExitCode.OK,
        run("apply", wider.toString(), "--store", uri(), "--author", "juris", "--base", "latest"));
    assertEquals(ExitCode.OK, run("history", "kannelkoda", "--store", uri()));
    assertTrue(out().contains("juris  services[donation-cataloguing].queueWait"), out());
    assertEquals(ExitCode.OK, run("show", "kannelkoda", "--store", uri()));
    assertTrue(out().contains("by juris\ncustomer: kannelkoda\n"), out());
  }

  // Guards against lost updates: an operator applies an edited copy of an old contract and silently
  // reverts a colleague's later change. This happens if the tool takes the current revision as the
  // base of the change instead of requiring the operator to give it.
  @Test
  void changeOfAnExistingContractRequiresItsBaseRevision(@TempDir Path directory) throws Exception {
    run("apply", VALID_CONTRACT, "--store", uri());
    Path wider = changed(directory, "queueWait: 2s", "queueWait: 3s");

    assertEquals(ExitCode.USAGE, run("apply", wider.toString(), "--store", uri()));
    assertTrue(err().contains("is stored at revision"), err());
    assertEquals(
        ExitCode.CONFLICT, run("apply", wider.toString(), "--store", uri(), "--base", "0"));
    assertTrue(err().contains("queueWait: 2s -> 3s"), err());
  }

  @Test
  void changeIsReportedAsAcceptedAfterALostStoreAnswer() {
    store.setFaults(StoreFaults.none().withLoseAnswers(1));

    ExitCode code = run("apply", VALID_CONTRACT, "--store", uri());

    assertEquals(ExitCode.OK, code, err());
    assertTrue(out().contains("accepted at revision"), out());
  }

  // The store is down before anything is sent. If the change were queued or silently dropped, the
  // operator would assume that it was accepted.
  @Test
  void changeDuringAnOutageFailsWithAnError() {
    store.setFaults(StoreFaults.none().withDown(true));

    ExitCode code =
        run("apply", VALID_CONTRACT, "--store", uri(), "--base", "0", "--timeout", "300ms");

    assertEquals(ExitCode.UNAVAILABLE, code, err());
    assertTrue(err().startsWith("kannelkoda: nothing was written: "), err());
    store.setFaults(StoreFaults.none());
    assertEquals(ExitCode.NOT_FOUND, run("show", "kannelkoda", "--store", uri()));
  }

  // Every answer of the store is lost for a while. The change took effect at the first attempt, but
  // the operator cannot know. The command must report the unknown outcome, and 'history --change'
  // must resolve it once the store answers again.
  @Test
  void unansweredChangeIsResolvedLaterByItsId() {
    store.setFaults(StoreFaults.none().withLoseAnswers(20));

    ExitCode code =
        run("apply", VALID_CONTRACT, "--store", uri(), "--base", "0", "--timeout", "500ms");

    assertEquals(ExitCode.OUTCOME_UNKNOWN, code, err());
    Matcher command = Pattern.compile("history kannelkoda --change ([-0-9a-f]+)").matcher(err());
    assertTrue(command.find(), err());
    store.setFaults(StoreFaults.none());
    String id = command.group(1);
    assertEquals(ExitCode.OK, run("history", "kannelkoda", "--change", id, "--store", uri()));
    assertTrue(out().startsWith("accepted at revision "), out());
    assertEquals(
        ExitCode.NOT_FOUND, run("history", "kannelkoda", "--change", "0-0", "--store", uri()));
  }

  @Test
  void unreachableStoreIsReported() {
    String gone = uri();
    store.close();

    assertEquals(ExitCode.UNAVAILABLE, run("show", "kannelkoda", "--store", gone));
    assertTrue(err().startsWith("sageladderctl show: the store cannot be read"), err());
  }

  @Test
  void unknownOptionAndMissingOperandAreUsageErrors() {
    assertEquals(ExitCode.USAGE, run("show", "--stoer", "x", "kannelkoda"));
    assertEquals(ExitCode.USAGE, run("show", "--store", uri()));
    assertTrue(err().contains("expected: sageladderctl show CUSTOMER"), err());
  }

  private ExitCode run(String... args) {
    out.reset();
    err.reset();
    return Ctl.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String uri() {
    return store.address().toString();
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private static Path changed(Path directory, String original, String replacement)
      throws Exception {
    String yaml = Files.readString(Path.of(VALID_CONTRACT));
    return Files.writeString(
        directory.resolve("changed.yaml"), yaml.replace(original, replacement));
  }
}
