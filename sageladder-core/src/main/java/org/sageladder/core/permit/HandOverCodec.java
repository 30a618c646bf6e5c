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
 * Bytes of a hand-over, for the message that carries it to the successor.
 *
 * <p>Runs of unused permits compress to almost nothing, so the size follows the permits used.
 */
public final class HandOverCodec {
  private static final int VERSION = 1;
  private static final int MAX_PERMITS_PER_SEGMENT = 1 << 16;

  private HandOverCodec() {}

  /** The compressed bytes. */
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
   * Reads what {@link #encode} wrote.
   *
   * @throws IOException where the bytes are cut or of another version
   */
  public static HandOver decode(byte[] bytes) throws IOException {
    try (DataInputStream in =
        new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
      int version = in.readByte();
      if (version != VERSION) {
        throw new IOException("hand-over version " + version + " is not known, 1 would be");
      }
      String vm = in.readUTF();
      long incarnation = in.readLong();
      long nextSequence = in.readLong();
      List<HandOver.SegmentState> segments = new ArrayList<>();
      for (int left = in.readInt(); left > 0; left--) {
        segments.add(readSegment(in));
      }
      Map<Long, RecordedAnswer> answers = new HashMap<>();
      for (int left = in.readInt(); left > 0; left--) {
        answers.put(in.readLong(), readAnswer(in));
      }
      requireEndOfStream(in);
      return new HandOver(vm, incarnation, nextSequence, segments, answers);
    }
  }

  /**
   * Reads to the end of the compressed bytes, where their checksum stands. Without this, bytes that
   * were cut behind the last answer pass unchecked: reading them asks for no more than its length.
   */
  private static void requireEndOfStream(DataInputStream in) throws IOException {
    if (in.read() >= 0) {
      throw new IOException("bytes follow the hand-over's last answer");
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
    long first = in.readLong();
    long endMillis = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > MAX_PERMITS_PER_SEGMENT) {
      throw new IOException("a segment of " + count + " permits; at most 65536 are possible");
    }
    byte[] states = new byte[count];
    in.readFully(states);
    long[] digests = new long[count];
    for (int i = 0; i < count; i++) {
      digests[i] = in.readLong();
    }
    return new HandOver.SegmentState(first, endMillis, states, digests);
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
    boolean bodyKept = in.readBoolean();
    List<RecordedAnswer.Header> headers = new ArrayList<>();
    for (int left = in.readUnsignedShort(); left > 0; left--) {
      headers.add(new RecordedAnswer.Header(in.readUTF(), in.readUTF()));
    }
    byte[] body = in.readNBytes(in.readInt());
    return new RecordedAnswer(status, headers, body, bodyKept);
  }
}
