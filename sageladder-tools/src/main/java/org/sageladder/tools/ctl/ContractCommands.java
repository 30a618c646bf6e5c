package org.sageladder.tools.ctl;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.ContractCheck;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.ApplyResult;
import org.sageladder.platform.contract.ContractDiff;
import org.sageladder.platform.contract.ContractDiff.Difference;
import org.sageladder.platform.contract.ContractWriter;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingsException;

/** The commands that read, check and change contracts. */
final class ContractCommands {
  static final String BASE = "base";
  static final String CHANGE = "change";

  private static final String LATEST = "latest";

  private ContractCommands() {}

  static ExitCode check(Invocation invocation) throws CtlException {
    boolean allValid = true;
    for (String file : invocation.operands()) {
      List<ContractCheck.Problem> problems = ContractCheck.problems(readContract(file));
      if (problems.isEmpty()) {
        invocation.out().println(file + ": good");
      } else {
        printProblems(file, problems, invocation.err());
        allValid = false;
      }
    }
    return allValid ? ExitCode.OK : ExitCode.BAD_CONTRACT;
  }

  static ExitCode show(Invocation invocation) throws CtlException {
    StoredContract stored = readRequired(invocation, invocation.operand(0));
    PrintStream out = invocation.out();
    out.println("# revision " + stored.contract().revision() + " by " + stored.author());
    out.print(ContractYaml.format(stored.contract()));
    return ExitCode.OK;
  }

  static ExitCode diff(Invocation invocation) throws CtlException {
    Contract wanted = readContract(invocation.operand(0));
    StoredContract stored = readRequired(invocation, wanted.customer());
    List<Difference> differences = ContractDiff.between(stored.contract(), wanted);
    invocation.out().println("store: revision " + stored.contract().revision());
    differences.forEach(difference -> invocation.out().println("  " + difference));
    return differences.isEmpty() ? ExitCode.OK : ExitCode.VERDICT_FAILED;
  }

  static ExitCode history(Invocation invocation) throws CtlException {
    StoredContract stored = readRequired(invocation, invocation.operand(0));
    String changeId = invocation.option(CHANGE);
    if (changeId != null) {
      return resolveChange(stored, changeId, invocation);
    }
    if (stored.history().isEmpty()) {
      invocation.out().println("no changes are recorded");
    }
    for (StoredContract.Change change : stored.history()) {
      String fields = change.fields().isEmpty() ? "first" : String.join(", ", change.fields());
      invocation
          .out()
          .printf(
              "%d  %s  %s  %s  (change %s)%n",
              change.revision(),
              Instant.ofEpochMilli(change.atMillis()),
              change.author(),
              fields,
              change.changeId());
    }
    return ExitCode.OK;
  }

  /**
   * Reports whether a change whose answer was lost took effect.
   *
   * <p>Without this, an operator would have to guess whether to retry. A change that is not found
   * can still take effect while its base revision is current, since the store may execute a write
   * late. Once the revision differs, compare-and-swap rejects the change permanently, and the
   * result reported here is final.
   */
  private static ExitCode resolveChange(
      StoredContract stored, String changeId, Invocation invocation) {
    for (StoredContract.Change change : stored.history()) {
      if (change.changeId().equals(changeId)) {
        invocation.out().println("accepted at revision " + change.revision());
        return ExitCode.OK;
      }
    }
    invocation
        .err()
        .println(
            "change "
                + changeId
                + " is not among the last "
                + stored.history().size()
                + " changes; revision "
                + stored.contract().revision()
                + " is current. Applying the file again with the same --base is safe: at"
                + " most one copy takes effect");
    return ExitCode.NOT_FOUND;
  }

  static ExitCode apply(Invocation invocation) throws CtlException {
    String file = invocation.operand(0);
    Contract wanted = readContract(file);
    try (Store store = invocation.store()) {
      ContractWriter writer = ContractWriter.of(store, TimeSource.system(), invocation.author());
      long base = baseRevision(invocation, writer, wanted.customer());
      return reportResult(writer.apply(wanted, base), file, wanted.customer(), invocation);
    }
  }

  /**
   * Returns the revision that the change is based on. If the store already has a contract, the
   * operator must give it: if it were read here, every change would be based on the latest
   * revision, and an edit of an older copy would silently revert what another operator has changed
   * since.
   */
  private static long baseRevision(Invocation invocation, ContractWriter writer, String customer)
      throws CtlException {
    String text = invocation.option(BASE);
    if (text != null && !text.equals(LATEST)) {
      try {
        return Long.parseLong(text);
      } catch (NumberFormatException e) {
        throw Invocation.usage(
            "--base '" + text + "' is not allowed; give a revision or '" + LATEST + "'");
      }
    }
    StoredContract current = read(writer, customer);
    if (current == null) {
      return 0;
    }
    long revision = current.contract().revision();
    if (text == null) {
      throw new CtlException(
          ExitCode.USAGE,
          "a contract of "
              + customer
              + " is stored at revision "
              + revision
              + " (by "
              + current.author()
              + "); check 'sageladderctl diff FILE', then give --base "
              + revision);
    }
    return revision;
  }

  private static ExitCode reportResult(
      ApplyResult result, String file, String customer, Invocation invocation) {
    PrintStream out = invocation.out();
    PrintStream err = invocation.err();
    if (result instanceof ApplyResult.Accepted accepted) {
      out.println(customer + ": accepted at revision " + accepted.revision());
      accepted.differences().forEach(difference -> out.println("  " + difference));
      return ExitCode.OK;
    }
    if (result instanceof ApplyResult.Unchanged unchanged) {
      out.println(customer + ": no change, revision " + unchanged.revision() + " is identical");
      return ExitCode.OK;
    }
    if (result instanceof ApplyResult.Rejected rejected) {
      printProblems(file, rejected.problems(), err);
      return ExitCode.BAD_CONTRACT;
    }
    if (result instanceof ApplyResult.Conflict conflict) {
      reportConflict(conflict, customer, err);
      return ExitCode.CONFLICT;
    }
    if (result instanceof ApplyResult.OutcomeUnknown unknown) {
      err.println(
          customer
              + ": the store gave no answer ("
              + unknown.reason()
              + "); change "
              + unknown.changeId()
              + " may or may not have taken effect: run 'sageladderctl history "
              + customer
              + " --change "
              + unknown.changeId()
              + "' before retrying");
      return ExitCode.OUTCOME_UNKNOWN;
    }
    err.println(customer + ": nothing was written: " + ((ApplyResult.Unavailable) result).reason());
    return ExitCode.UNAVAILABLE;
  }

  private static void reportConflict(
      ApplyResult.Conflict conflict, String customer, PrintStream err) {
    StoredContract current = conflict.current();
    if (current == null) {
      err.println(customer + ": nothing was written: no contract is stored; give --base 0");
      return;
    }
    err.println(
        customer
            + ": nothing was written: "
            + current.author()
            + "'s change came first, at revision "
            + current.contract().revision());
    err.println("your file differs from the stored contract (stored -> yours):");
    for (Difference difference : conflict.differences()) {
      String mark = conflict.conflictingKeys().contains(difference.key()) ? "! " : "  ";
      err.println("  " + mark + difference);
    }
    if (!conflict.conflictingKeys().isEmpty()) {
      err.println("lines marked ! were changed in both");
    }
    err.println(
        "to overwrite the stored contract with your file, give --base "
            + current.contract().revision());
  }

  private static StoredContract readRequired(Invocation invocation, String customer)
      throws CtlException {
    try (Store store = invocation.store()) {
      StoredContract stored =
          read(ContractWriter.of(store, TimeSource.system(), "reader"), customer);
      if (stored == null) {
        throw new CtlException(
            ExitCode.NOT_FOUND, "the store has no contract of customer '" + customer + "'");
      }
      return stored;
    }
  }

  private static @Nullable StoredContract read(ContractWriter writer, String customer)
      throws CtlException {
    try {
      return writer.read(customer);
    } catch (StoreException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, "the store cannot be read: " + e.getMessage());
    }
  }

  private static Contract readContract(String file) throws CtlException {
    try {
      return ContractYaml.read(Path.of(file));
    } catch (SettingsException e) {
      throw new CtlException(ExitCode.BAD_CONTRACT, e.getMessage());
    }
  }

  private static void printProblems(
      String file, List<ContractCheck.Problem> problems, PrintStream stream) {
    problems.forEach(problem -> stream.println(file + ": " + problem));
  }
}
