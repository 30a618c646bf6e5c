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
 * Negotiates the protocol version and derives the keys of a connection.
 *
 * <p>The session key is derived from both first frames, so that any change to either, such as a
 * version downgrade, makes the first MAC fail.
 */
final class Handshake {
  /** The supported version of the inner protocol. */
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

  /** An authenticated peer and the MACs of its connection. */
  record Session(String peer, long peerIncarnation, FrameMac receiveMac, FrameMac sendMac) {}

  /** The reply to a peer's hello and the resulting session. */
  @SuppressWarnings("ArrayRecordComponent")
  record Accepted(byte[] welcome, Session session) {}

  /** Creates the first frame; empty while this process has no key. */
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

  /** Verifies a hello and creates the reply. */
  Accepted accept(byte[] helloBytes) throws ProtocolException {
    Inner.Hello hello = parseHello(helloBytes);
    if (hello.getLowestVersion() > VERSION || hello.getHighestVersion() < VERSION) {
      throw new ProtocolException(
          Reason.VERSION,
          "'"
              + hello.getVm()
              + "' supports versions "
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
              + "' belongs to customer '"
              + hello.getCustomer()
              + "', this VM to '"
              + identity.customer()
              + "'");
    }
    if (!hello.getExpectedVm().isEmpty() && !hello.getExpectedVm().equals(identity.vm())) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC,
          "'"
              + hello.getVm()
              + "' expected VM '"
              + hello.getExpectedVm()
              + "', but this is '"
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
    byte[] sessionKey =
        FrameMac.deriveSessionKey(secret, helloBytes, welcome.build().toByteArray());
    welcome.setProof(ByteString.copyFrom(FrameMac.welcomeProof(sessionKey)));
    return new Accepted(
        welcome.build().toByteArray(),
        new Session(
            hello.getVm(),
            hello.getIncarnation(),
            FrameMac.of(sessionKey, true),
            FrameMac.of(sessionKey, false)));
  }

  /** Verifies the reply to {@code hello} and returns the session. */
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
    byte[] welcomeWithoutProof = welcome.toBuilder().clearProof().build().toByteArray();
    byte[] sessionKey =
        FrameMac.deriveSessionKey(
            findSecret(parseHello(hello).getKeyId()), hello, welcomeWithoutProof);
    byte[] proof = welcome.getProof().toByteArray();
    if (!MessageDigest.isEqual(proof, FrameMac.welcomeProof(sessionKey))) {
      throw new ProtocolException(
          Reason.NOT_AUTHENTIC, "'" + welcome.getVm() + "' does not have this customer's key");
    }
    return new Session(
        welcome.getVm(),
        welcome.getIncarnation(),
        FrameMac.of(sessionKey, false),
        FrameMac.of(sessionKey, true));
  }

  private static Inner.Hello parseHello(byte[] bytes) throws ProtocolException {
    Inner.Hello hello;
    try {
      hello = Inner.Hello.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a hello: " + e.getMessage());
    }
    boolean isNameValid = !hello.getVm().isEmpty() && hello.getVm().length() <= MAX_NAME_LENGTH;
    if (!isNameValid || hello.getNonce().size() < NONCE_BYTES) {
      throw new ProtocolException(
          Reason.MALFORMED,
          "a hello with a missing or overlong name, or with a nonce below "
              + NONCE_BYTES
              + " bytes");
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
