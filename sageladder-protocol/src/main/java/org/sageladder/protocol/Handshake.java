package org.sageladder.protocol;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.function.Supplier;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.protocol.ProtocolException.Reason;
import org.sageladder.protocol.generated.Inner;

/**
 * Agrees on a version and makes the keys of a connection.
 *
 * <p>Both first frames go into the session key, so that a change to either, a downgrade of the
 * version among them, makes the first MAC fail.
 */
final class Handshake {
  /** The version of the inner protocol that this code speaks. */
  static final int VERSION = 1;

  private static final int NONCE_BYTES = 16;
  private static final int MAX_NAME_LENGTH = 128;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final LinkIdentity identity;
  private final Supplier<Optional<KeyRing>> keys;

  Handshake(LinkIdentity identity, Supplier<Optional<KeyRing>> keys) {
    this.identity = identity;
    this.keys = keys;
  }

  /** A connection's keys and the peer they were agreed with. */
  record Session(String peer, long peerIncarnation, FrameMac receiveMac, FrameMac sendMac) {}

  /** The answer to a peer's hello and the session it leads to. */
  @SuppressWarnings("ArrayRecordComponent")
  record Accepted(byte[] welcome, Session session) {}

  /** The first frame, or empty while this process has no key. */
  Optional<byte[]> createHello(String expectedVm) {
    return keys.get()
        .map(
            ring ->
                Inner.Hello.newBuilder()
                    .setLowestVersion(VERSION)
                    .setHighestVersion(VERSION)
                    .setVm(identity.vm())
                    .setCustomer(identity.customer())
                    .setIncarnation(identity.incarnation())
                    .setKeyId(ring.signingKey().id())
                    .setNonce(newNonce())
                    .setExpectedVm(expectedVm)
                    .build()
                    .toByteArray());
  }

  /** Answers a hello. */
  Accepted accept(byte[] helloBytes) throws ProtocolException {
    Inner.Hello hello = parseHello(helloBytes);
    if (hello.getLowestVersion() > VERSION || hello.getHighestVersion() < VERSION) {
      throw new ProtocolException(
          Reason.VERSION,
          "'"
              + hello.getVm()
              + "' speaks versions "
              + hello.getLowestVersion()
              + " to "
              + hello.getHighestVersion()
              + "; "
              + VERSION
              + " would be accepted");
    }
    if (!hello.getCustomer().equals(identity.customer())) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC,
          "'"
              + hello.getVm()
              + "' is of customer '"
              + hello.getCustomer()
              + "', this VM of '"
              + identity.customer()
              + "'");
    }
    if (!hello.getExpectedVm().isEmpty() && !hello.getExpectedVm().equals(identity.vm())) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC,
          "'"
              + hello.getVm()
              + "' wants '"
              + hello.getExpectedVm()
              + "', this is '"
              + identity.vm()
              + "'");
    }
    byte[] secret = findSecret(hello.getKeyId());
    Inner.Welcome.Builder welcome =
        Inner.Welcome.newBuilder()
            .setVersion(VERSION)
            .setVm(identity.vm())
            .setIncarnation(identity.incarnation())
            .setNonce(newNonce());
    byte[] session = FrameMac.deriveSessionKey(secret, helloBytes, welcome.build().toByteArray());
    welcome.setProof(ByteString.copyFrom(FrameMac.welcomeProof(session)));
    return new Accepted(
        welcome.build().toByteArray(),
        new Session(
            hello.getVm(),
            hello.getIncarnation(),
            FrameMac.of(session, true),
            FrameMac.of(session, false)));
  }

  /** Checks the answer to {@code hello}. */
  Session complete(byte[] hello, byte[] welcomeBytes) throws ProtocolException {
    Inner.Welcome welcome;
    try {
      welcome = Inner.Welcome.parseFrom(welcomeBytes);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a welcome: " + e.getMessage());
    }
    if (welcome.getVersion() != VERSION) {
      throw new ProtocolException(
          Reason.VERSION,
          "'" + welcome.getVm() + "' chose version " + welcome.getVersion() + ", not " + VERSION);
    }
    byte[] bare = welcome.toBuilder().clearProof().build().toByteArray();
    byte[] session =
        FrameMac.deriveSessionKey(findSecret(parseHello(hello).getKeyId()), hello, bare);
    byte[] proof = welcome.getProof().toByteArray();
    if (!MessageDigest.isEqual(proof, FrameMac.welcomeProof(session))) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC, "'" + welcome.getVm() + "' does not have this customer's key");
    }
    return new Session(
        welcome.getVm(),
        welcome.getIncarnation(),
        FrameMac.of(session, false),
        FrameMac.of(session, true));
  }

  private static Inner.Hello parseHello(byte[] bytes) throws ProtocolException {
    Inner.Hello hello;
    try {
      hello = Inner.Hello.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a hello: " + e.getMessage());
    }
    boolean named = !hello.getVm().isEmpty() && hello.getVm().length() <= MAX_NAME_LENGTH;
    if (!named || hello.getNonce().size() < NONCE_BYTES) {
      throw new ProtocolException(
          Reason.MALFORMED, "a hello without name or with a nonce below " + NONCE_BYTES + " bytes");
    }
    return hello;
  }

  private byte[] findSecret(String keyId) throws ProtocolException {
    return keys.get()
        .flatMap(ring -> ring.key(keyId))
        .map(key -> key.secret().bytes())
        .orElseThrow(
            () -> new ProtocolException(Reason.NOT_AUTHENTIC, "key '" + keyId + "' is not known"));
  }

  private static ByteString newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }
}
