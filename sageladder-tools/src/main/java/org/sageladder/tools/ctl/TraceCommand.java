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
 * {@code trace}: from a request's id to what decided it, out of entry VMs' log files.
 *
 * <p>Prints the request's own lines and, about them, what its entry VMs said of themselves and of
 * the targets that the request was sent to, oldest first.
 */
final class TraceCommand {
  /**
   * Time about a request in which a line may tell its cause; a lost target is noticed within it.
   */
  private static final long ABOUT_MILLIS = 2_000;

  private static final JsonMapper JSON = new JsonMapper();

  private record Line(
      long at, String vm, String kind, String request, String subject, String detail) {
    boolean isOf(String id) {
      return request.equals(id);
    }

    /** True where the line speaks of a VM's state or of a target, not of another request. */
    boolean isState() {
      return request.isEmpty();
    }

    String text(long from) {
      return String.format(
          Locale.ROOT, "%+6d ms  %-24s %-18s %s %s", at - from, vm, kind, subject, detail);
    }
  }

  private TraceCommand() {}

  static ExitCode run(Invocation invocation) throws CtlException {
    String id = invocation.operand(0);
    List<Line> lines = new ArrayList<>();
    for (String file : invocation.operands().subList(1, invocation.operands().size())) {
      lines.addAll(read(Path.of(file), invocation.err()));
    }
    List<Line> own = lines.stream().filter(line -> line.isOf(id)).toList();
    if (own.isEmpty()) {
      invocation
          .out()
          .println(
              "no line of request '"
                  + id
                  + "' among "
                  + lines.size()
                  + "; no entry VM of these files has read it, or its lines were left out");
      return ExitCode.NOT_FOUND;
    }
    long from = own.stream().mapToLong(Line::at).min().orElseThrow();
    related(lines, own, id).forEach(line -> invocation.out().println(line.text(from)));
    return ExitCode.OK;
  }

  private static List<Line> related(List<Line> lines, List<Line> own, String id) {
    long from = own.stream().mapToLong(Line::at).min().orElseThrow() - ABOUT_MILLIS;
    long to = own.stream().mapToLong(Line::at).max().orElseThrow() + ABOUT_MILLIS;
    Set<String> vms = new HashSet<>();
    Set<String> targets = new HashSet<>();
    for (Line line : own) {
      vms.add(line.vm());
      targets.add(line.subject());
    }
    targets.remove("");
    return lines.stream()
        .filter(line -> line.at() >= from && line.at() <= to)
        .filter(line -> line.isOf(id) || (line.isState() && vms.contains(line.vm())))
        .filter(line -> line.isOf(id) || !isTargetLine(line) || targets.contains(line.subject()))
        .sorted(Comparator.comparingLong(Line::at))
        .toList();
  }

  private static boolean isTargetLine(Line line) {
    return line.kind().startsWith("TARGET_");
  }

  /** The log lines of a file; those that were cut off by the end of their process are counted. */
  private static List<Line> read(Path file, PrintStream err) throws CtlException {
    List<Line> lines = new ArrayList<>();
    int notRead = 0;
    for (String text : texts(file)) {
      int begin = text.indexOf("{\"at\":");
      if (begin < 0) {
        continue;
      }
      try {
        lines.add(line(JSON.readTree(text.substring(begin))));
      } catch (JsonProcessingException e) {
        notRead++;
      }
    }
    if (notRead > 0) {
      err.println(file + ": " + notRead + " lines not read, since they are cut off");
    }
    return lines;
  }

  private static List<String> texts(Path file) throws CtlException {
    try {
      return Files.readAllLines(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw Invocation.usage("cannot read '" + file + "': " + e.getMessage());
    }
  }

  private static Line line(JsonNode json) {
    return new Line(
        json.path("at").asLong(),
        json.path("vm").asText(""),
        json.path("kind").asText(""),
        json.path("request").asText(""),
        json.path("subject").asText(""),
        json.path("detail").asText(""));
  }
}
