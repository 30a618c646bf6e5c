package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Sealing, altering and rotating. */
class PermitCodecTest {
  private static final Permit PERMIT =
      new Permit("tallinn-a-1", 7, 4211, 99_000, "kannelkoda", "donations", "k1", "10.1.0.18:8080");

  private static KeyRing.Key key(String id, int fill) {
    byte[] secret = new byte[32];
    java.util.Arrays.fill(secret, (byte) fill);
    return new KeyRing.Key(id, 0, KeyRing.Secret.of(secret));
  }

  /** A permit must come back as it was, or its home cannot find its state. */
  @Test
  void sealedPermitOpensUnchanged() {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    assertEquals(new OpenedPermit.Valid(PERMIT), codec.open(codec.seal(PERMIT)));
  }

  /**
   * A caller changes one character to get a second run: another sequence would be unused. The MAC
   * covers key id and payload, so each such change is refused.
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
          throw new AssertionError("character " + i + " changed to " + other + " still opens");
        }
      }
    }
  }

  /**
   * An operator rotates the keys while an archivist's donation is on its way. With one key only the
   * live permit would be refused, and the donation could be neither repeated nor settled.
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
   * An entry VM that has not read the newest key yet gets a permit sealed with it. Calling it
   * invalid would say "not run" of a request that its home may be running.
   */
  @Test
  void permitWithUnknownKeyIsNotInvalid() {
    PermitCodec home = PermitCodec.of(() -> KeyRing.of(List.of(key("k2", 2))));
    PermitCodec behind = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    OpenedPermit opened = behind.open(home.seal(PERMIT));
    assertEquals(new OpenedPermit.UnknownKey(PERMIT, "k2"), opened);
  }

  @Test
  void malformedTextIsQuotedInReason() {
    PermitCodec codec = PermitCodec.of(() -> KeyRing.of(List.of(key("k1", 1))));
    OpenedPermit.Invalid invalid = (OpenedPermit.Invalid) codec.open("nonsense");
    assertEquals("'nonsense' is not of the form KEY.PAYLOAD.MAC", invalid.reason());
  }
}
