package org.sageladder.tools.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.sageladder.standin.target.AnswerPattern;
import org.sageladder.standin.target.RequestChecksum;

/**
 * The HTTP request that an arrival becomes at a target stand-in, with verification of its answer.
 */
@SuppressWarnings("ArrayRecordComponent")
record TargetRequest(String method, String path, byte[] body, int answerBytes) {
  /** Header in which the stand-in returns the checksum of the request that it answers. */
  static final String CHECKSUM_HEADER = "Request-Checksum";

  static TargetRequest of(Arrival arrival) {
    String path = "/x?work=" + arrival.requestId() + "&answerBytes=" + arrival.answerBytes();
    if (arrival.repeatable()) {
      return new TargetRequest("GET", path, new byte[0], arrival.answerBytes());
    }
    byte[] body = ("record of " + arrival.requestId()).getBytes(StandardCharsets.UTF_8);
    return new TargetRequest("POST", path, body, arrival.answerBytes());
  }

  /** Returns true if the answer belongs to this request and its body is complete and correct. */
  boolean isAnsweredBy(String checksum, byte[] answer) {
    long expectedChecksum = RequestChecksum.of(method, path, body);
    if (!String.valueOf(expectedChecksum).equals(checksum) || answer.length != answerBytes) {
      return false;
    }
    AnswerPattern.Checker checker = AnswerPattern.checker(expectedChecksum);
    checker.add(ByteBuffer.wrap(answer));
    return checker.matches();
  }
}
