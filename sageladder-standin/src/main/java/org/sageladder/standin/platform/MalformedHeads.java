package org.sageladder.standin.platform;

import java.util.List;
import java.util.Random;

/** Draws what makes the head of an otherwise complete answer malformed by RFC 9112. */
final class MalformedHeads {
  private static final List<String> STATUSES =
      List.of("000", "099", "0", "0200", "+200", "2000", "600");

  private static final List<String> HEADERS =
      List.of(
          "X Note: n",
          "X\tNote: n",
          "X\0Note: n",
          "X\1Note: n",
          "X-Note : n",
          "X-Note\t: n",
          " X-Note: n",
          "\1X-Note: n",
          "X-Note");

  private final Random random;

  MalformedHeads(long seed) {
    this.random = new Random(seed);
  }

  /** Replaces the status of an answer, which follows its version, by one that is invalid. */
  String replaceStatus(String answer, int status) {
    return answer.replaceFirst(" " + status + " ", " " + draw(STATUSES) + " ");
  }

  /** Inserts a header with an invalid name behind one of the lines of the head. */
  String insertHeader(String answer) {
    String head = answer.substring(0, answer.indexOf("\r\n\r\n"));
    List<String> lines = head.lines().toList();
    int position = String.join("\r\n", lines.subList(0, 1 + random.nextInt(lines.size()))).length();
    return answer.substring(0, position) + "\r\n" + draw(HEADERS) + answer.substring(position);
  }

  private String draw(List<String> all) {
    return all.get(random.nextInt(all.size()));
  }
}
