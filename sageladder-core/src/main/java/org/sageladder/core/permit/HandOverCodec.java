package org.sageladder.core.permit;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Encodes a hand-over for the message that carries it to the successor.
 *
 * <p>Runs of unused permits compress to almost nothing, so the size depends on the number of used
 * permits.
 */
public final class HandOverCodec {
  private static final int VERSION = 1;
  private static final int MAX_PERMITS_PER_SEGMENT = 1 << 16;

  private HandOverCodec() {}

  /** Encodes and compresses {@code handOver}. */
  public static byte[] encode(HandOver handOver) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(new DeflaterOutputStream(bytes))) {
      out.writeByte(VERSION);
      out.writeUTF(handOver.vm());
      out.writeLong(handOver.incarnation());
      out.writeLong(handOver.nextSequence());
      out.writeInt(handOver.segments().size());
      for (HandOver.SegmentState segment : handOver.segments()) {
        write(out, segment);
      }
      out.writeInt(handOver.answers().size());
      for (Map.Entry<Long, RecordedAnswer> answer : handOver.answers().entrySet()) {
        out.writeLong(answer.getKey());
        write(out, answer.getValue());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes what {@link #encode} wrote.
   *
   * @throws IOException if the bytes are truncated or of an unsupported version
   */
  public static HandOver decode(byte[] bytes) throws IOException {
    try (DataInputStream in =
        new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
      int version = in.readByte();
      if (version != VERSION) {
        throw new IOException("unsupported hand-over version " + version + ", expected 1");
      }
      String vm = in.readUTF();
      long incarnation = in.readLong();
      long nextSequence = in.readLong();
      List<HandOver.SegmentState> segments = new ArrayList<>();
      for (int remaining = in.readInt(); remaining > 0; remaining--) {
        segments.add(readSegment(in));
      }
      Map<Long, RecordedAnswer> answers = new HashMap<>();
      for (int remaining = in.readInt(); remaining > 0; remaining--) {
        answers.put(in.readLong(), readAnswer(in));
      }
      requireEndOfStream(in);
      return new HandOver(vm, incarnation, nextSequence, segments, answers);
    }
  }

  /**
   * Reads to the end of the compressed bytes, where the checksum is verified. Without this, bytes
   * truncated after the last answer would be accepted, because reading the answer stops before the
   * checksum.
   */
  private static void requireEndOfStream(DataInputStream in) throws IOException {
    if (in.read() >= 0) {
      throw new IOException("unexpected bytes after the last answer of the hand-over");
    }
  }

  private static void write(DataOutputStream out, HandOver.SegmentState segment)
      throws IOException {
    out.writeLong(segment.firstSequence());
    out.writeLong(segment.lastExpiryMillis());
    out.writeInt(segment.states().length);
    out.write(segment.states());
    for (long digest : segment.requestDigests()) {
      out.writeLong(digest);
    }
  }

  private static HandOver.SegmentState readSegment(DataInputStream in) throws IOException {
    long firstSequence = in.readLong();
    long lastExpiryMillis = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > MAX_PERMITS_PER_SEGMENT) {
      throw new IOException("segment has " + count + " permits; expected at most 65536");
    }
    byte[] states = new byte[count];
    in.readFully(states);
    long[] digests = new long[count];
    for (int i = 0; i < count; i++) {
      digests[i] = in.readLong();
    }
    return new HandOver.SegmentState(firstSequence, lastExpiryMillis, states, digests);
  }

  private static void write(DataOutputStream out, RecordedAnswer answer) throws IOException {
    out.writeShort(answer.status());
    out.writeBoolean(answer.isKept());
    out.writeShort(answer.headers().size());
    for (RecordedAnswer.Header header : answer.headers()) {
      out.writeUTF(header.name());
      out.writeUTF(header.value());
    }
    out.writeInt(answer.body().length);
    out.write(answer.body());
  }

  private static RecordedAnswer readAnswer(DataInputStream in) throws IOException {
    int status = in.readUnsignedShort();
    boolean isKept = in.readBoolean();
    List<RecordedAnswer.Header> headers = new ArrayList<>();
    for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
      headers.add(new RecordedAnswer.Header(in.readUTF(), in.readUTF()));
    }
    byte[] body = in.readNBytes(in.readInt());
    return new RecordedAnswer(status, headers, body, isKept);
  }
}
