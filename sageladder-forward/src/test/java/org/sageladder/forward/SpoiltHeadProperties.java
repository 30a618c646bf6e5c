package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against a status, header or body that a target did not send, by one wrong byte. */
class SpoiltHeadProperties {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] ([1-5][0-9]{2}) ([\t\\x20-\\x7e\\x80-\\xff]*)");
  private static final Pattern HEADER =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\\x20-\\x7e\\x80-\\xff]*?)[ \t]*");
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String BODY = "five!";
  private static final int MAX_POSITION = 110;

  /** A response by the grammar of RFC 9112; what stands in no rule of it is no response. */
  record Message(String status, String reason, List<String> headers, String body) {
    static Optional<Message> parse(String text) {
      int headLength = text.indexOf(END_OF_HEAD);
      if (headLength < 0) {
        return Optional.empty();
      }
      String[] lines = text.substring(0, headLength).split("\r\n", -1);
      Matcher statusLine = STATUS_LINE.matcher(lines[0]);
      if (!statusLine.matches()) {
        return Optional.empty();
      }
      List<String> headers = new ArrayList<>();
      for (int i = 1; i < lines.length; i++) {
        Matcher header = HEADER.matcher(lines[i]);
        if (!header.matches()) {
          return Optional.empty();
        }
        headers.add(header.group(1) + ": " + header.group(2));
      }
      String rest = text.substring(headLength + END_OF_HEAD.length());
      return body(headers, rest)
          .map(
              body -> new Message(statusLine.group(1), statusLine.group(2).strip(), headers, body));
    }

    /** The body of a message behind whose head {@code rest} is sent until the connection ends. */
    private static Optional<String> body(List<String> headers, String rest) {
      for (String header : headers) {
        String lowerCase = header.toLowerCase(Locale.ROOT);
        if (lowerCase.startsWith("transfer-encoding: ")) {
          return lowerCase.endsWith(": chunked") ? Optional.of(BODY) : Optional.empty();
        }
        if (lowerCase.startsWith("content-length: ")) {
          String length = lowerCase.substring("content-length: ".length());
          boolean isNumber = length.matches("[0-9]+");
          return isNumber && Integer.parseInt(length) <= rest.length()
              ? Optional.of(rest.substring(0, Integer.parseInt(length)))
              : Optional.empty();
        }
      }
      return Optional.of(rest);
    }
  }

  @Provide
  Arbitrary<String> response() {
    String head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: own seal\r\nX-Note: n\r\n";
    return Arbitraries.of(
        head + "Content-Length: 5\r\nX-Last: z\r\n\r\n" + BODY,
        head + "Transfer-Encoding: chunked\r\nX-Last: z\r\n\r\n5\r\n" + BODY + "\r\n0\r\n\r\n",
        head + "X-Last: z\r\n\r\n" + BODY);
  }

  @Provide
  Arbitrary<Integer> position() {
    return Arbitraries.integers().between(0, MAX_POSITION);
  }

  @Provide
  Arbitrary<Character> wrongByte() {
    return Arbitraries.of(
        '\0', '\u0001', '\t', '\n', '\u000b', '\f', '\r', '\u001f', ' ', '"', '+', '-', '/', '0',
        '1', '9', ':', ';', 'x', '\u007f', '\u0080', '\u00a0', '\u00ff');
  }

  /** A naive parser of the grammar decides what the target sent. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void responseIsAsMeantOrNone(
      @ForAll("response") String meant,
      @ForAll("position") int position,
      @ForAll("wrongByte") char wrongByte,
      @ForAll boolean isSplit) {
    int headLength = meant.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    if (position >= headLength) {
      return;
    }
    String sent = meant.substring(0, position) + wrongByte + meant.substring(position + 1);
    EmbeddedTarget target = new EmbeddedTarget();
    EmbeddedTarget.Recorder recorder = target.request("a");
    for (String read : isSplit ? sent.split("", -1) : new String[] {sent}) {
      target.send(read);
    }
    var unused = target.channel.close();
    assertTrue(recorder.isComplete != recorder.isLost, "the request has no end or two");
    if (recorder.isComplete) {
      Set<Message> accepted = new HashSet<>();
      Message.parse(meant).ifPresent(accepted::add);
      Message.parse(sent).ifPresent(accepted::add);
      assertTrue(accepted.contains(received(recorder)), "received is none of " + accepted);
    }
  }

  private static Message received(EmbeddedTarget.Recorder recorder) {
    HttpResponse head = Objects.requireNonNull(recorder.head);
    HttpHeaders headers = head.headers();
    return new Message(
        Integer.toString(head.status().code()),
        head.status().reasonPhrase(),
        headers.entries().stream().map(each -> each.getKey() + ": " + each.getValue()).toList(),
        recorder.body.toString());
  }
}
