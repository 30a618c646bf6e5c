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

/** The documented table of result codes. */
class ResultCodesTest {
  private static final Pattern ROW =
      Pattern.compile("\\| (\\d+) \\| ([A-Z_]+) \\| (\\d+) \\| ([a-z-]+) \\|.*");

  // Guards against a table that was not updated with the code: if it says "not-run" where the code
  // means "unknown", a caller sends a bid again and the bid runs twice.
  @Test
  void documentedTableMatchesEnum() throws IOException {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "RESULT-CODES.md")).stream()
            .map(ROW::matcher)
            .filter(Matcher::matches)
            .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3) + " " + row.group(4))
            .toList();
    List<String> expected =
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
    assertEquals(expected, documented);
  }

  @Test
  void numbersAreUnique() {
    long distinct = Arrays.stream(ResultCode.values()).map(ResultCode::number).distinct().count();
    assertEquals(ResultCode.values().length, distinct);
  }
}
