package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Bodies that are cut off, discarded, or outlive the connection that they came over. */
class BodyPipeTest {
  private final BodyPipe pipe = BodyPipe.open();
  private final Writer writer = new Writer();

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * A target fails in the middle of a chunked body. If the pipe ended there, the caller would get a
   * truncated body that looks complete; instead it must fail, which closes the connection to the
   * caller.
   */
  @Test
  void failedBodyIsNeverEnded() throws IOException {
    pipe.accept(bytes("half a song"));
    pipe.produce(writer);
    pipe.fail(new IOException("the target failed"));
    assertThrows(IOException.class, () -> pipe.produce(writer));
    assertFalse(writer.isEnded);
  }

  /**
   * A faulty caller sends chunks without end, and their total length is not known beforehand. The
   * body fails at the configured limit, and its target sees a body that is cut off, never a
   * complete one.
   */
  @Test
  void chunkedBodyFailsAtTheLimit() throws IOException {
    pipe.limitLength(10);
    pipe.accept(bytes("ten bytes."));
    assertThrows(IOException.class, () -> pipe.accept(bytes("!")));
    pipe.fail(new IOException("its connection was closed"));
    assertThrows(IOException.class, () -> pipe.produce(writer));
    assertFalse(writer.isEnded);
  }

  /**
   * The deadline passes while a body is being sent to the target; the rest of it is discarded and
   * its end arrives. Written to the target, that end would make the truncated body look complete.
   */
  @Test
  void discardedBodyIsNotWritten() throws IOException {
    pipe.accept(bytes("first part, "));
    pipe.produce(writer);
    pipe.discard();
    pipe.accept(bytes("second part"));
    pipe.complete();
    assertThrows(IOException.class, () -> pipe.produce(writer));
    assertFalse(writer.isEnded);
  }

  /**
   * A caller's connection breaks after the complete body arrived: the body must still reach the
   * target.
   */
  @Test
  void completeBodyOutlivesItsConnection() throws IOException {
    pipe.accept(bytes("a whole bid"));
    pipe.complete();
    pipe.fail(new IOException("the caller's connection broke"));
    pipe.produce(writer);
    assertEquals("a whole bid", writer.text());
    assertTrue(writer.isEnded);
  }

  /**
   * A response is recorded for repeats while it is forwarded, even if no caller reads it any more.
   */
  @Test
  void responseIsRecordedAfterItsCallerDisconnected() throws IOException {
    BodyRecorder recorder = BodyRecorder.upTo(100);
    pipe.record(recorder);
    pipe.accept(bytes("sold "));
    pipe.discard();
    pipe.accept(bytes("to you"));
    pipe.complete();
    assertArrayEquals(
        "sold to you".getBytes(StandardCharsets.UTF_8), recorder.body().orElseThrow());
  }

  /**
   * A response of 100 MB must not be copied into the memory of an entry VM for the sake of repeats.
   */
  @Test
  void responseAboveTheLimitIsNotRecorded() throws IOException {
    BodyRecorder recorder = BodyRecorder.upTo(10);
    pipe.record(recorder);
    pipe.accept(bytes("more than ten bytes"));
    assertTrue(recorder.body().isEmpty());
  }

  /** Two copies of a request arrive in different chunks and must have the same hash. */
  @Test
  void prefixHashDoesNotDependOnChunkBoundaries() throws IOException {
    BodyPipe other = BodyPipe.open();
    pipe.accept(bytes("a damaged "));
    pipe.accept(bytes("recording"));
    other.accept(bytes("a damaged recording"));
    assertEquals(other.prefixHash(), pipe.prefixHash());
  }

  private static final class Writer implements DataStreamChannel {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private boolean isEnded;

    String text() {
      return written.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void requestOutput() {}

    @Override
    public int write(ByteBuffer source) {
      int length = source.remaining();
      byte[] part = new byte[length];
      source.get(part);
      written.writeBytes(part);
      return length;
    }

    @Override
    public void endStream() {
      endStream(null);
    }

    @Override
    public void endStream(@Nullable List<? extends Header> trailers) {
      isEnded = true;
    }
  }
}
