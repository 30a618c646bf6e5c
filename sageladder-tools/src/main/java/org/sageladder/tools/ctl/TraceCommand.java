package org.sageladder.tools.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.sageladder.platform.settings.ExitCode;

/**
 * {@code trace}: shows what determined the result of a request, from the log files of entry VMs.
 *
 * <p>Prints the log lines of the request and, from about the same time, those that its entry VMs
 * logged about their own state and about the targets that the request was sent to, oldest first.
 */
final class TraceCommand {
  /**
   * Time before and after a request in which log lines can show the cause of its result; the loss
   * of a target is detected within this time.
   */
  private static final long CONTEXT_MILLIS = 2_000;

  private static final JsonMapper JSON = new JsonMapper();

  private record LogLine(
      long atMillis, String vm, String kind, String request, String subject, String detail) {
    boolean isAboutRequest(String id) {
      return request.equals(id);
    }

    /** Returns true if the line is about the state of a VM or target, not about a request. */
    boolean isAboutState() {
      return request.isEmpty();
    }

    String format(long startMillis) {
      return String.format(
          Locale.ROOT,
          "%+6d ms  %-24s %-18s %s %s",
          atMillis - startMillis,
          vm,
          kind,
          subject,
          detail);
    }
  }

  private TraceCommand() {}

  static ExitCode run(Invocation invocation) throws CtlException {
    String id = invocation.operand(0);
    List<LogLine> lines = new ArrayList<>();
    for (String file : invocation.operands().subList(1, invocation.operands().size())) {
      lines.addAll(readLogLines(Path.of(file), invocation.err()));
    }
    List<LogLine> own = lines.stream().filter(line -> line.isAboutRequest(id)).toList();
    if (own.isEmpty()) {
      invocation
          .out()
          .println(
              "no log line for request '"
                  + id
                  + "' among "
                  + lines.size()
                  + "; no entry VM of these files received it, or its lines were dropped");
      return ExitCode.NOT_FOUND;
    }
    long fromMillis = own.stream().mapToLong(LogLine::atMillis).min().orElseThrow();
    relatedLines(lines, own, id).forEach(line -> invocation.out().println(line.format(fromMillis)));
    return ExitCode.OK;
  }

  private static List<LogLine> relatedLines(List<LogLine> lines, List<LogLine> own, String id) {
    long fromMillis =
        own.stream().mapToLong(LogLine::atMillis).min().orElseThrow() - CONTEXT_MILLIS;
    long toMillis = own.stream().mapToLong(LogLine::atMillis).max().orElseThrow() + CONTEXT_MILLIS;
    Set<String> vms = new HashSet<>();
    Set<String> targets = new HashSet<>();
    for (LogLine line : own) {
      vms.add(line.vm());
      targets.add(line.subject());
    }
    targets.remove("");
    return lines.stream()
        .filter(line -> line.atMillis() >= fromMillis && line.atMillis() <= toMillis)
        .filter(line -> line.isAboutRequest(id) || (line.isAboutState() && vms.contains(line.vm())))
        .filter(
            line ->
                line.isAboutRequest(id) || !isTargetLine(line) || targets.contains(line.subject()))
        .sorted(Comparator.comparingLong(LogLine::atMillis))
        .toList();
  }

  private static boolean isTargetLine(LogLine line) {
    return line.kind().startsWith("TARGET_");
  }

  /**
   * Reads the log lines of a file; reports the number of lines that were truncated by the end of
   * their process.
   */
  private static List<LogLine> readLogLines(Path file, PrintStream err) throws CtlException {
    List<LogLine> lines = new ArrayList<>();
    int truncatedCount = 0;
    for (String text : readTextLines(file)) {
      int begin = text.indexOf("{\"at\":");
      if (begin < 0) {
        continue;
      }
      try {
        lines.add(parseLine(JSON.readTree(text.substring(begin))));
      } catch (JsonProcessingException e) {
        truncatedCount++;
      }
    }
    if (truncatedCount > 0) {
      err.println(file + ": " + truncatedCount + " lines skipped because they are truncated");
    }
    return lines;
  }

  private static List<String> readTextLines(Path file) throws CtlException {
    try {
      return Files.readAllLines(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw Invocation.usage("cannot read '" + file + "': " + e.getMessage());
    }
  }

  private static LogLine parseLine(JsonNode json) {
    return new LogLine(
        json.path("at").asLong(),
        json.path("vm").asText(""),
        json.path("kind").asText(""),
        json.path("request").asText(""),
        json.path("subject").asText(""),
        json.path("detail").asText(""));
  }
}
