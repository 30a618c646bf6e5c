package org.sageladder.core.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The table of result codes that callers read. */
class ResultCodesTest {
  private static final Pattern ROW =
      Pattern.compile("\\| (\\d+) \\| ([A-Z_]+) \\| (\\d+) \\| ([a-z-]+) \\|.*");

  // A caller reads in the manual that a code means "not-run" and sends a bid again; the code says
  // "unknown" and the bid is doubled. The cause would be a table that was not changed with the
  // code.
  @Test
  void documentedTableMatchesEnum() throws IOException {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "RESULT-CODES.md")).stream()
            .map(ROW::matcher)
            .filter(Matcher::matches)
            .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3) + " " + row.group(4))
            .toList();
    List<String> coded =
        Arrays.stream(ResultCode.values())
            .map(
                code ->
                    code.number()
                        + " "
                        + code.name()
                        + " "
                        + code.httpStatus()
                        + " "
                        + code.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-'))
            .toList();
    assertEquals(coded, documented);
  }

  @Test
  void numbersAreUnique() {
    long distinct = Arrays.stream(ResultCode.values()).map(ResultCode::number).distinct().count();
    assertEquals(ResultCode.values().length, distinct);
  }
}
