package org.sageladder.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;
import org.sageladder.core.spread.SpreadMessage;

class MessageCodecProperties {
  private static final Member MEMBER =
      new Member("vm-1", "tartu-a", 77, "127.0.0.1", 7001, 7002, true);

  private static final Holding HOLDING =
      new Holding("t-1", "kannelkoda", "search", "127.0.0.1", 9000, 3, "vm-1", 2, true);
  private static final RelayedView VIEW =
      new RelayedView(
          new ZoneView("tartu-a", 1L << 40, List.of(MEMBER), List.of(HOLDING)),
          "vm-1",
          List.of(new RelayedView.Withheld("t-1", "vm-2", 5, 6, true)));
  private static final ZoneReport REPORT =
      new ZoneReport(
          "tartu-a",
          "kannelkoda",
          1_234,
          List.of(
              new ZoneSummary(
                  "tartu-a", "kannelkoda", "search", 1_234, 36, 12, 3, 40.5, 50.25, 41)),
          4,
          17,
          List.of("vm-3"));
  private static final List<Decoder> DECODERS =
      List.of(
          MessageCodec::decode,
          MessageCodec::decodePayload,
          MembershipCodec::decodeView,
          MembershipCodec::decodeReport);
  private static final List<byte[]> ENCODED =
      List.of(
          MessageCodec.encode(new InnerMessage.HeartbeatMessage(heartbeat())),
          MessageCodec.encode(new TopicPayload("share-transfer", new byte[] {1, 2, 3})),
          MembershipCodec.encode(VIEW),
          MembershipCodec.encode(REPORT));

  // A peer of another version, a port scanner or a faulty process sends bytes that are not a
  // message. Any other exception would end the connection's thread instead of the connection.
  @Property(tries = 500, seed = "20261202")
  void arbitraryBytesDecodeOrThrowProtocolException(@ForAll byte[] bytes) {
    for (Decoder decoder : DECODERS) {
      decodeOrReject(decoder, bytes);
    }
  }

  // The same for messages with one corrupted byte: as most of the structure remains valid, they
  // reach deeper into a decoder than random bytes do.
  @Property(tries = 500, seed = "20261202")
  void corruptedMessagesDecodeOrThrowProtocolException(
      @ForAll @IntRange(max = 3) int index, @ForAll int position, @ForAll byte newByte) {
    byte[] corrupted = ENCODED.get(index).clone();
    corrupted[Math.floorMod(position, corrupted.length)] = newByte;
    for (Decoder decoder : DECODERS) {
      decodeOrReject(decoder, corrupted);
    }
  }

  private static void decodeOrReject(Decoder decoder, byte[] bytes) {
    try {
      decoder.decode(bytes);
    } catch (ProtocolException expected) {
      // Expected for bytes that are not a message.
    }
  }

  @FunctionalInterface
  private interface Decoder {
    Object decode(byte[] bytes) throws ProtocolException;
  }

  @Property(tries = 500, seed = "20261202")
  void truncatedMessageDecodesOrThrowsProtocolException(@ForAll int length) {
    byte[] complete = MessageCodec.encode(new InnerMessage.HeartbeatMessage(heartbeat()));
    byte[] truncated = java.util.Arrays.copyOf(complete, Math.floorMod(length, complete.length));
    try {
      MessageCodec.decode(truncated);
    } catch (ProtocolException expected) {
      // Expected for bytes that are not a message.
    }
  }

  @Example
  void heartbeatSurvivesRoundTrip() throws ProtocolException {
    InnerMessage.HeartbeatMessage message = new InnerMessage.HeartbeatMessage(heartbeat());
    assertEquals(message, MessageCodec.decode(MessageCodec.encode(message)));
  }

  @Example
  void heartbeatAnswerAndVersionsSurviveRoundTrip() throws ProtocolException {
    InnerMessage answer =
        new InnerMessage.HeartbeatAnswerMessage(new HeartbeatAnswer(-5, 9, true, true, 77));
    assertEquals(answer, MessageCodec.decode(MessageCodec.encode(answer)));
    InnerMessage versions =
        new InnerMessage.Spread(
            new SpreadMessage.Versions(
                Map.of(
                    new ItemKey(ItemKind.VIEW, "tartu-a"), new SpreadMessage.VersionStamp(7, -3)),
                true));
    assertEquals(versions, MessageCodec.decode(MessageCodec.encode(versions)));
  }

  @Example
  void viewSurvivesRoundTrip() throws ProtocolException {
    assertEquals(VIEW, MembershipCodec.decodeView(MembershipCodec.encode(VIEW)));
  }

  @Example
  void zoneReportSurvivesRoundTrip() throws ProtocolException {
    assertEquals(REPORT, MembershipCodec.decodeReport(MembershipCodec.encode(REPORT)));
  }

  @Property(tries = 100, seed = "20261202")
  void payloadSurvivesRoundTrip(@ForAll byte[] content) throws ProtocolException {
    TopicPayload payload = new TopicPayload("share-transfer", content);
    TopicPayload decoded = MessageCodec.decodePayload(MessageCodec.encode(payload));
    assertEquals("share-transfer", decoded.topic());
    assertArrayEquals(content, decoded.content());
  }

  private static Heartbeat heartbeat() {
    return new Heartbeat(
        MEMBER,
        -123,
        1L << 41,
        17,
        List.of(new TargetReport("t-1", 4, true, 2, true)),
        List.of(new ZoneSummary("tartu-a", "", "search", 0, 6, 2, 1, 4.5, 5.5, 6.5)));
  }
}
