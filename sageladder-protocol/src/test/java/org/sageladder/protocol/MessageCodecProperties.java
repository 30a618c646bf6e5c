package org.sageladder.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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

  // A peer of another version, a port scanner or a broken process sends bytes that are no message.
  // An exception of another kind would end the connection's thread, not the connection.
  @Property(tries = 500, seed = "20261202")
  void anyBytesGiveAMessageOrAProtocolException(@ForAll byte[] bytes) {
    try {
      MessageCodec.decode(bytes);
      MembershipCodec.decodeView(bytes);
      MembershipCodec.decodeReport(bytes);
      MessageCodec.decodePayload(bytes);
    } catch (ProtocolException expected) {
      // That is the answer to bytes that are no message.
    }
  }

  @Property(tries = 500, seed = "20261202")
  void cutMessageGivesAMessageOrAProtocolException(@ForAll int cut) {
    byte[] whole = MessageCodec.encode(new InnerMessage.Beat(heartbeat()));
    byte[] part = java.util.Arrays.copyOf(whole, Math.floorMod(cut, whole.length));
    try {
      MessageCodec.decode(part);
    } catch (ProtocolException expected) {
      // That is the answer to bytes that are no message.
    }
  }

  @Example
  void heartbeatKeepsEverything() throws ProtocolException {
    InnerMessage.Beat beat = new InnerMessage.Beat(heartbeat());
    assertEquals(beat, MessageCodec.decode(MessageCodec.encode(beat)));
  }

  @Example
  void answerAndVersionsKeepEverything() throws ProtocolException {
    InnerMessage answer = new InnerMessage.BeatAnswer(new HeartbeatAnswer(-5, 9, true, true, 77));
    assertEquals(answer, MessageCodec.decode(MessageCodec.encode(answer)));
    InnerMessage versions =
        new InnerMessage.Spread(
            new SpreadMessage.Versions(
                Map.of(new ItemKey(ItemKind.VIEW, "tartu-a"), new SpreadMessage.Stamp(7, -3)),
                true));
    assertEquals(versions, MessageCodec.decode(MessageCodec.encode(versions)));
  }

  @Example
  void viewKeepsEverything() throws ProtocolException {
    Holding holding =
        new Holding("t-1", "kannelkoda", "search", "127.0.0.1", 9000, 3, "vm-1", 2, true);
    RelayedView view =
        new RelayedView(
            new ZoneView("tartu-a", 1L << 40, List.of(MEMBER), List.of(holding)),
            "vm-1",
            List.of(new RelayedView.Withheld("t-1", "vm-2", 5, 6, true)));
    assertEquals(view, MembershipCodec.decodeView(MembershipCodec.encode(view)));
  }

  @Example
  void reportKeepsEverything() throws ProtocolException {
    ZoneReport report =
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
    assertEquals(report, MembershipCodec.decodeReport(MembershipCodec.encode(report)));
  }

  @Property(tries = 100, seed = "20261202")
  void payloadKeepsItsContent(@ForAll byte[] content) throws ProtocolException {
    TopicPayload payload = new TopicPayload("share-transfer", content);
    TopicPayload back = MessageCodec.decodePayload(MessageCodec.encode(payload));
    assertEquals("share-transfer", back.topic());
    assertArrayEquals(content, back.content());
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
