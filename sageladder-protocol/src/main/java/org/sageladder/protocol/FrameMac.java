package org.sageladder.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes and verifies the MACs of the frames in one direction of one connection.
 *
 * <p>Detects frames that were forged, changed, replayed, dropped or reordered: each tag covers a
 * frame counter and is computed with a key that is specific to this connection and direction. Not
 * thread-safe.
 */
final class FrameMac {
  /** Size of the tag that is added to each frame. */
  static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;
  private long frameCount;

  private FrameMac(byte[] key) {
    this.mac = newMac(key);
  }

  /** Derives the key of one connection from the shared secret and both sides' first frames. */
  static byte[] deriveSessionKey(byte[] secret, byte[] hello, byte[] welcome) {
    Mac derive = newMac(secret);
    derive.update("sageladder inner session".getBytes(StandardCharsets.UTF_8));
    derive.update(ByteBuffer.allocate(Integer.BYTES).putInt(hello.length).array());
    derive.update(hello);
    return derive.doFinal(welcome);
  }

  /** Proves to the connecting side that the accepting side has the secret. */
  static byte[] welcomeProof(byte[] sessionKey) {
    Mac proof = newMac(sessionKey);
    return truncateToTag(proof.doFinal("welcome".getBytes(StandardCharsets.UTF_8)));
  }

  /** Creates the MAC of the frames from the connecting side, or of those to it. */
  static FrameMac of(byte[] sessionKey, boolean isFromConnectingSide) {
    String direction = isFromConnectingSide ? "from connecting" : "to connecting";
    return new FrameMac(newMac(sessionKey).doFinal(direction.getBytes(StandardCharsets.UTF_8)));
  }

  /** Computes the tag of the next frame and advances the counter. */
  byte[] nextTag(byte[] body) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(frameCount).array());
    frameCount++;
    return truncateToTag(mac.doFinal(body));
  }

  /** Returns true if {@code claimed} is the tag of the next frame; compares in constant time. */
  boolean matchesNext(byte[] body, byte[] claimed) {
    return MessageDigest.isEqual(nextTag(body), claimed);
  }

  private static byte[] truncateToTag(byte[] full) {
    return Arrays.copyOf(full, TAG_BYTES);
  }

  private static Mac newMac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + ALGORITHM, e);
    }
  }
}
