package org.sageladder.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates the frames of one direction of one connection.
 *
 * <p>Guards against frames that somebody else made, changed, repeated, dropped or reordered: each
 * tag covers a count of frames and is made with a key of this connection and direction alone. Not
 * thread-safe.
 */
final class FrameMac {
  /** Bytes that a tag adds to a frame. */
  static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;
  private long frameCount;

  private FrameMac(byte[] key) {
    this.mac = newMac(key);
  }

  /** The key of one connection, made of the shared secret and both sides' first frames. */
  static byte[] deriveSessionKey(byte[] secret, byte[] hello, byte[] welcome) {
    Mac derive = newMac(secret);
    derive.update("sageladder inner session".getBytes(StandardCharsets.UTF_8));
    derive.update(ByteBuffer.allocate(Integer.BYTES).putInt(hello.length).array());
    derive.update(hello);
    return derive.doFinal(welcome);
  }

  /** What shows the connecting side that the other one has the secret. */
  static byte[] welcomeProof(byte[] sessionKey) {
    Mac proof = newMac(sessionKey);
    return truncateToTag(proof.doFinal("welcome".getBytes(StandardCharsets.UTF_8)));
  }

  /** The MAC of frames from the side that connected, or to it. */
  static FrameMac of(byte[] sessionKey, boolean isFromConnectingSide) {
    String direction = isFromConnectingSide ? "from connecting" : "to connecting";
    return new FrameMac(newMac(sessionKey).doFinal(direction.getBytes(StandardCharsets.UTF_8)));
  }

  /** The tag of the next frame. */
  byte[] nextTag(byte[] body) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(frameCount).array());
    frameCount++;
    return truncateToTag(mac.doFinal(body));
  }

  /** Whether {@code claimed} is the tag of the next frame; compares in constant time. */
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
