package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Tests signing, tampering and key rotation. */
class PermitCodecTest {
  private static final Permit PERMIT =
      new Permit("tallinn-a-1", 7, 4211, 99_000, "kannelkoda", "donations", "k1", "10.1.0.18:8080");

  private static KeyRing.Key key(String id, int fill) {
    byte[] secret = new byte[32];
    java.util.Arrays.fill(secret, (byte) fill);
    return new KeyRing.Key(id, 0, KeyRing.Secret.of(secret));
  }

  /** If a permit changed in transit, its issuer could not find its state. */
  @Test
  void sealedPermitOpensUnchanged() {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    assertEquals(new OpenedPermit.Valid(PERMIT), codec.open(codec.seal(PERMIT)));
  }

  /**
   * Guards against tampering: with another, unused sequence number a caller would get a second
   * execution. The MAC covers key id and payload, so every such change must be refused.
   */
  @Test
  void permitWithChangedCharacterIsNotValid() {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1), key("k2", 2))));
    String text = codec.seal(PERMIT);
    for (int i = 0; i < text.length(); i++) {
      for (char other : new char[] {'A', '2', 'z'}) {
        String changed = text.substring(0, i) + other + text.substring(i + 1);
        OpenedPermit opened = codec.open(changed);
        boolean sameBytes = opened.equals(codec.open(text)) && i == text.length() - 1;
        if (!changed.equals(text) && !sameBytes && opened instanceof OpenedPermit.Valid) {
          throw new AssertionError(
              "the permit with character " + i + " changed to " + other + " is still valid");
        }
      }
    }
  }

  /**
   * Guards against refusing a permit that is in use during a key rotation. With only the new key in
   * the ring it would be refused, and its request could be neither repeated nor resolved.
   */
  @Test
  void livePermitRemainsValidAfterKeyRotation() {
    AtomicReference<KeyRing> ring = new AtomicReference<>(KeyRing.of(List.of(key("k1", 1))));
    PermitCodec codec = PermitCodec.of(ring::get);
    String before = codec.seal(PERMIT);
    ring.set(KeyRing.of(List.of(key("k2", 2), key("k1", 1))));
    assertInstanceOf(OpenedPermit.Valid.class, codec.open(before));
    assertInstanceOf(OpenedPermit.Valid.class, codec.open(codec.seal(PERMIT)));
  }

  /**
   * Guards against a wrong "not run" answer: an entry VM that has not read the newest key yet
   * receives a permit signed with it, whose request the issuer may be running.
   */
  @Test
  void permitWithUnknownKeyIsNotInvalid() {
    PermitCodec issuer = PermitCodec.of(() -> KeyRing.of(List.of(key("k2", 2))));
    PermitCodec behind = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    OpenedPermit opened = behind.open(issuer.seal(PERMIT));
    assertEquals(new OpenedPermit.UnknownKey(PERMIT, "k2"), opened);
  }

  @Test
  void malformedTextIsQuotedInReason() {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    OpenedPermit.Invalid invalid = (OpenedPermit.Invalid) codec.open("nonsense");
    assertEquals("'nonsense' is not of the form KEY.PAYLOAD.MAC", invalid.reason());
  }
}
