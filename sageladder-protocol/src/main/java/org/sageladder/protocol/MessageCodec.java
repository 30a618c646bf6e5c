package org.sageladder.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.spread.Item;
import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;
import org.sageladder.core.spread.PayloadDelta;
import org.sageladder.core.spread.SpreadMessage;
import org.sageladder.protocol.ProtocolException.Reason;
import org.sageladder.protocol.generated.Inner;

/**
 * Encodes and decodes the messages of the inner protocol.
 *
 * <p>For any input, decoding either returns a validated message or throws {@link
 * ProtocolException}.
 */
public final class MessageCodec {
  private MessageCodec() {}

  /** Encodes a message in an envelope. */
  public static byte[] encode(InnerMessage message) {
    return toEnvelope(message).toByteArray();
  }

  /** Decodes the message in an envelope. */
  public static InnerMessage decode(byte[] bytes) throws ProtocolException {
    try {
      return fromEnvelope(Inner.Envelope.parseFrom(bytes));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a message: " + e.getMessage());
    }
  }

  private static Inner.Envelope toEnvelope(InnerMessage message) {
    Inner.Envelope.Builder envelope = Inner.Envelope.newBuilder();
    if (message instanceof InnerMessage.Spread spread) {
      setBody(envelope, spread.message());
    } else if (message instanceof InnerMessage.HeartbeatMessage heartbeatMessage) {
      envelope.setHeartbeat(MembershipCodec.encode(heartbeatMessage.heartbeat()));
    } else if (message instanceof InnerMessage.HeartbeatAnswerMessage answerMessage) {
      envelope.setHeartbeatAnswer(encode(answerMessage.answer()));
    } else if (message instanceof InnerMessage.Direct direct) {
      envelope.setDirect(Inner.Direct.newBuilder().setPayload(toProtobuf(direct.payload())));
    }
    return envelope.build();
  }

  private static InnerMessage fromEnvelope(Inner.Envelope envelope) throws ProtocolException {
    return switch (envelope.getBodyCase()) {
      case PUSH -> new InnerMessage.Spread(decode(envelope.getPush()));
      case DIGEST_OFFER ->
          new InnerMessage.Spread(
              new SpreadMessage.DigestOffer(envelope.getDigestOffer().getDigest()));
      case VERSIONS -> new InnerMessage.Spread(decode(envelope.getVersions()));
      case SNAPSHOT_END ->
          new InnerMessage.Spread(
              new SpreadMessage.SnapshotEnd(envelope.getSnapshotEnd().getReady()));
      case PULL -> new InnerMessage.Spread(decode(envelope.getPull()));
      case HEARTBEAT ->
          new InnerMessage.HeartbeatMessage(MembershipCodec.decode(envelope.getHeartbeat()));
      case HEARTBEAT_ANSWER ->
          new InnerMessage.HeartbeatAnswerMessage(decode(envelope.getHeartbeatAnswer()));
      case DIRECT -> new InnerMessage.Direct(fromProtobuf(envelope.getDirect().getPayload()));
      case PROOF, BODY_NOT_SET ->
          throw new ProtocolException(
              Reason.UNKNOWN_KIND, "message kind " + envelope.getBodyCase() + " is not supported");
    };
  }

  /** Encodes a payload that is sent in a notice. */
  public static byte[] encode(TopicPayload payload) {
    return toProtobuf(payload).toByteArray();
  }

  /** Decodes the payload of a notice. */
  public static TopicPayload decodePayload(byte[] bytes) throws ProtocolException {
    try {
      return fromProtobuf(Inner.Payload.parseFrom(bytes));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a payload: " + e.getMessage());
    }
  }

  private static void setBody(Inner.Envelope.Builder envelope, SpreadMessage message) {
    if (message instanceof SpreadMessage.Push push) {
      envelope.setPush(encode(push));
    } else if (message instanceof SpreadMessage.DigestOffer offer) {
      envelope.setDigestOffer(Inner.DigestOffer.newBuilder().setDigest(offer.digest()));
    } else if (message instanceof SpreadMessage.Versions versions) {
      envelope.setVersions(encode(versions));
    } else if (message instanceof SpreadMessage.SnapshotEnd end) {
      envelope.setSnapshotEnd(Inner.SnapshotEnd.newBuilder().setReady(end.isReady()));
    } else if (message instanceof SpreadMessage.Pull pull) {
      Inner.Pull.Builder builder = Inner.Pull.newBuilder();
      pull.keys().forEach(key -> builder.addKeys(encode(key)));
      envelope.setPull(builder);
    }
  }

  private static Inner.Push encode(SpreadMessage.Push push) {
    Inner.Push.Builder builder = Inner.Push.newBuilder();
    for (Item item : push.items()) {
      builder.addItems(
          Inner.Item.newBuilder()
              .setKey(encode(item.key()))
              .setVersion(item.version())
              .setExpiresAtMillis(item.expiresAtMillis())
              .setPayload(ByteString.copyFrom(item.payload())));
    }
    for (SpreadMessage.DeltaItem delta : push.deltas()) {
      builder.addDeltas(
          Inner.DeltaItem.newBuilder()
              .setKey(encode(delta.key()))
              .setVersion(delta.version())
              .setBaseVersion(delta.baseVersion())
              .setPayloadHash(delta.payloadHash())
              .setProgram(ByteString.copyFrom(delta.delta().instructions())));
    }
    return builder.build();
  }

  private static SpreadMessage.Push decode(Inner.Push push) throws ProtocolException {
    List<Item> items = new ArrayList<>(push.getItemsCount());
    for (Inner.Item item : push.getItemsList()) {
      items.add(
          new Item(
              decode(item.getKey()),
              item.getVersion(),
              item.getExpiresAtMillis(),
              item.getPayload().toByteArray()));
    }
    List<SpreadMessage.DeltaItem> deltas = new ArrayList<>(push.getDeltasCount());
    for (Inner.DeltaItem delta : push.getDeltasList()) {
      deltas.add(
          new SpreadMessage.DeltaItem(
              decode(delta.getKey()),
              delta.getVersion(),
              delta.getBaseVersion(),
              delta.getPayloadHash(),
              new PayloadDelta(delta.getProgram().toByteArray())));
    }
    return new SpreadMessage.Push(items, deltas);
  }

  private static Inner.Versions encode(SpreadMessage.Versions versions) {
    Inner.Versions.Builder builder =
        Inner.Versions.newBuilder().setSnapshot(versions.isSnapshotRequest());
    versions
        .versions()
        .forEach(
            (key, stamp) ->
                builder.addStamps(
                    Inner.Stamp.newBuilder()
                        .setKey(encode(key))
                        .setVersion(stamp.version())
                        .setPayloadHash(stamp.payloadHash())));
    return builder.build();
  }

  private static SpreadMessage.Versions decode(Inner.Versions versions) throws ProtocolException {
    Map<ItemKey, SpreadMessage.VersionStamp> stamps = new HashMap<>();
    for (Inner.Stamp stamp : versions.getStampsList()) {
      stamps.put(
          decode(stamp.getKey()),
          new SpreadMessage.VersionStamp(stamp.getVersion(), stamp.getPayloadHash()));
    }
    return new SpreadMessage.Versions(stamps, versions.getSnapshot());
  }

  private static SpreadMessage.Pull decode(Inner.Pull pull) throws ProtocolException {
    List<ItemKey> keys = new ArrayList<>(pull.getKeysCount());
    for (Inner.Key key : pull.getKeysList()) {
      keys.add(decode(key));
    }
    return new SpreadMessage.Pull(keys);
  }

  private static Inner.Key encode(ItemKey key) {
    return Inner.Key.newBuilder().setKind(encode(key.kind())).setName(key.name()).build();
  }

  private static ItemKey decode(Inner.Key key) throws ProtocolException {
    return new ItemKey(decode(key.getKind()), key.getName());
  }

  private static Inner.Kind encode(ItemKind kind) {
    return switch (kind) {
      case CONTRACT -> Inner.Kind.KIND_CONTRACT;
      case VIEW -> Inner.Kind.KIND_VIEW;
      case NOTICE -> Inner.Kind.KIND_NOTICE;
      case SUMMARY -> Inner.Kind.KIND_SUMMARY;
    };
  }

  private static ItemKind decode(Inner.Kind kind) throws ProtocolException {
    return switch (kind) {
      case KIND_CONTRACT -> ItemKind.CONTRACT;
      case KIND_VIEW -> ItemKind.VIEW;
      case KIND_NOTICE -> ItemKind.NOTICE;
      case KIND_SUMMARY -> ItemKind.SUMMARY;
      case KIND_UNKNOWN, UNRECOGNIZED ->
          throw new ProtocolException(
              Reason.UNKNOWN_KIND, "item kind " + kind + " is not supported");
    };
  }

  private static Inner.HeartbeatAnswer encode(HeartbeatAnswer answer) {
    return Inner.HeartbeatAnswer.newBuilder()
        .setEchoedNanos(answer.echoedSentNanos())
        .setViewNumber(answer.viewNumber())
        .setRelaying(answer.isRelay())
        .setConfirmed(answer.isConfirmed())
        .setKnownIncarnation(answer.knownIncarnation())
        .build();
  }

  private static HeartbeatAnswer decode(Inner.HeartbeatAnswer answer) {
    return new HeartbeatAnswer(
        answer.getEchoedNanos(),
        answer.getViewNumber(),
        answer.getRelaying(),
        answer.getConfirmed(),
        answer.getKnownIncarnation());
  }

  private static Inner.Payload toProtobuf(TopicPayload payload) {
    return Inner.Payload.newBuilder()
        .setTopic(
            Inner.Topic.newBuilder()
                .setName(payload.topic())
                .setContent(ByteString.copyFrom(payload.content())))
        .build();
  }

  private static TopicPayload fromProtobuf(Inner.Payload payload) throws ProtocolException {
    if (payload.getContentCase() != Inner.Payload.ContentCase.TOPIC) {
      throw new ProtocolException(Reason.UNKNOWN_KIND, "a payload without supported content");
    }
    Inner.Topic topic = payload.getTopic();
    return new TopicPayload(topic.getName(), topic.getContent().toByteArray());
  }
}
