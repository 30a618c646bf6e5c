package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the decoding of a hand-over at the successor. */
class HandOverCodecTest {
  private final PermitHome issuer = PermitHome.of("a", 3, PermitHome.Limits.standard());
  private final PermitHome successor = PermitHome.of("b", 9, PermitHome.Limits.standard());

  private Permit mint() {
    return issuer.mint("kannelkoda", "donations", 1_000).orElseThrow();
  }

  private Execution start(Permit permit) {
    return ((Decision.Execute) issuer.beginExecution(permit, "digest", 1_000)).execution();
  }

  /**
   * Guards against a second execution: a request is repeated after the entry VM that ran it has
   * stopped, and the successor must replay the recorded answer.
   */
  @Test
  void successorReplaysAnswerRecordedByStoppedIssuer() throws IOException {
    Permit ran = mint();
    Permit refused = mint();
    Permit running = mint();
    Permit unused = mint();
    List<RecordedAnswer.Header> headers = List.of(new RecordedAnswer.Header("ETag", "x"));
    start(ran).recordAnswer(RecordedAnswer.complete(201, headers, new byte[] {1, 2, 3}));
    start(refused).recordNotRun();
    start(running);
    HandOver closed = issuer.close("b", 2_000).orElseThrow();
    successor.adopt(HandOverCodec.decode(HandOverCodec.encode(closed)));

    Decision.Replay replay = (Decision.Replay) successor.beginExecution(ran, "digest", 2_000);
    assertArrayEquals(new byte[] {1, 2, 3}, replay.answer().body());
    assertEquals(headers, replay.answer().headers());
    assertInstanceOf(Decision.NotRun.class, successor.beginExecution(refused, "digest", 2_000));
    assertInstanceOf(Decision.Unknown.class, successor.beginExecution(running, "digest", 2_000));
    assertInstanceOf(Decision.Execute.class, successor.beginExecution(unused, "digest", 2_000));
    assertEquals(new Decision.Moved("b"), issuer.beginExecution(unused, "digest", 2_000));
  }

  /** Guards against a truncated hand-over that is accepted as one with fewer permits. */
  @Test
  void truncatedBytesAreRejected() {
    for (int i = 0; i < 500; i++) {
      start(mint())
          .recordAnswer(
              RecordedAnswer.complete(
                  200,
                  List.of(),
                  ("answer " + i).getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }
    byte[] bytes = HandOverCodec.encode(issuer.close("b", 1_000).orElseThrow());
    for (int length = 0; length < bytes.length - 4; length += 97) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(IOException.class, () -> HandOverCodec.decode(truncated));
    }
  }

  /**
   * Guards against bytes that are truncated within the checksum, so that all answers can still be
   * decoded. Whether a truncation at a given position is of this kind depends on the iteration
   * order of a map, which differs between processes: about one run in several hundred accepted such
   * bytes.
   */
  @Test
  void bytesWithTruncatedChecksumAreRejected() {
    start(mint()).recordAnswer(RecordedAnswer.complete(200, List.of(), new byte[] {1, 2, 3}));
    byte[] bytes = HandOverCodec.encode(issuer.close("b", 1_000).orElseThrow());
    for (int missing = 1; missing <= 12; missing++) {
      byte[] truncated = Arrays.copyOf(bytes, bytes.length - missing);
      assertThrows(IOException.class, () -> HandOverCodec.decode(truncated), "missing " + missing);
    }
  }
}
