package org.sageladder.bench.process;

import java.net.http.HttpResponse;
import org.sageladder.standin.target.AnswerPattern;

/** Result of one HTTP exchange as seen by the caller. */
@SuppressWarnings("ArrayRecordComponent")
public record Reply(
    int status,
    String result,
    String outcome,
    String permit,
    byte[] body,
    long echoedChecksum,
    boolean shouldLookUpAgain,
    long retryAfterMillis) {
  /** The connection was refused, so nothing was sent. */
  public static final Reply REFUSED = new Reply(0, "refused", "", "", new byte[0], -1, false, 0);

  /** The caller's timeout expired before the response. */
  public static final Reply TIMEOUT = new Reply(0, "timeout", "", "", new byte[0], -1, false, 0);

  /** The connection was closed before the response was complete. */
  public static final Reply CUT = new Reply(0, "cut", "", "", new byte[0], -1, false, 0);

  static Reply of(HttpResponse<byte[]> response) {
    return new Reply(
        response.statusCode(),
        header(response, "Sageladder-Result"),
        header(response, "Sageladder-Outcome"),
        header(response, "Sageladder-Permit"),
        response.body(),
        response.headers().firstValueAsLong("Request-Checksum").orElse(-1),
        !header(response, "Sageladder-Look-Up-Again").isEmpty(),
        response.headers().firstValueAsLong("Sageladder-Retry-After-Millis").orElse(0));
  }

  private static String header(HttpResponse<byte[]> response, String name) {
    return response.headers().firstValue(name).orElse("");
  }

  /** True if no complete response was received. */
  public boolean hasNoAnswer() {
    return status == 0;
  }

  /** True if no connection could be established. */
  public boolean isRefused() {
    return status == 0 && result.equals("refused");
  }

  /** True if the response states that the request was executed. */
  public boolean ran() {
    return outcome.equals("ran");
  }

  /** True if the response states that the request was not executed. */
  public boolean isNotRun() {
    return outcome.equals("not-run");
  }

  /** True if this is the complete response of a target to the request with that checksum. */
  public boolean isAnswerTo(long requestChecksum, long length) {
    if (echoedChecksum != requestChecksum || body.length != length) {
      return false;
    }
    AnswerPattern.Checker checker = AnswerPattern.checker(requestChecksum);
    checker.add(java.nio.ByteBuffer.wrap(body));
    return checker.matches();
  }
}
