package org.sageladder.core.permit;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import java.util.function.Supplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes permits as header text protected by a MAC, and decodes them.
 *
 * <p>The text is {@code KEYID.PAYLOAD.MAC}, with payload and MAC in URL-safe base64. The MAC is
 * HMAC-SHA256 over key id and payload, truncated to 128 bits.
 *
 * <pre>{@code
 * PermitCodec codec = PermitCodec.of(() -> ring);
 * String text = codec.seal(permit);
 * OpenedPermit opened = codec.open(text); // Valid[permit]
 * }</pre>
 */
public final class PermitCodec {
  private static final int VERSION = 1;
  private static final int MAC_BYTES = 16;
  private static final int MAX_TEXT_LENGTH = 1024;
  private static final String ALGORITHM = "HmacSHA256";
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

  private final Supplier<KeyRing> ringSource;

  private PermitCodec(Supplier<KeyRing> ringSource) {
    this.ringSource = ringSource;
  }

  /** Returns a codec that asks {@code ringSource} for the current keys at each call. */
  public static PermitCodec of(Supplier<KeyRing> ringSource) {
    return new PermitCodec(ringSource);
  }

  /** Encodes a permit and signs it with the ring's signing key. */
  public String seal(Permit permit) {
    KeyRing.Key key = ringSource.get().signingKey();
    String payload = ENCODER.encodeToString(encode(permit));
    return key.id() + "." + payload + "." + ENCODER.encodeToString(mac(key, payload));
  }

  /** Decodes a permit's text and verifies its MAC. */
  public OpenedPermit open(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      return invalid("the permit has " + text.length() + " characters; expected at most 1024");
    }
    String[] parts = text.split("\\.", -1);
    if (parts.length != 3) {
      return invalid("'" + text + "' is not of the form KEY.PAYLOAD.MAC");
    }
    Permit permit;
    byte[] given;
    try {
      permit = decode(Base64.getUrlDecoder().decode(parts[1]));
      given = Base64.getUrlDecoder().decode(parts[2]);
    } catch (IllegalArgumentException | IOException e) {
      return invalid("'" + text + "' cannot be read: " + e.getMessage());
    }
    Optional<KeyRing.Key> key = ringSource.get().key(parts[0]);
    if (key.isEmpty()) {
      return new OpenedPermit.UnknownKey(permit, parts[0]);
    }
    if (!MessageDigest.isEqual(mac(key.get(), parts[1]), given)) {
      return invalid("the MAC of '" + text + "' does not match its payload");
    }
    return new OpenedPermit.Valid(permit);
  }

  private static OpenedPermit invalid(String reason) {
    return new OpenedPermit.Invalid(reason);
  }

  private static byte[] encode(Permit permit) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(VERSION);
      out.writeUTF(permit.issuer());
      out.writeLong(permit.incarnation());
      out.writeLong(permit.sequence());
      out.writeLong(permit.expiryMillis());
      out.writeUTF(permit.customer());
      out.writeUTF(permit.service());
      out.writeUTF(permit.binding());
      out.writeUTF(permit.issuerAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static Permit decode(byte[] payload) throws IOException {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
      int version = in.readByte();
      if (version != VERSION) {
        throw new IOException("unsupported version " + version + ", expected 1");
      }
      String issuer = in.readUTF();
      long incarnation = in.readLong();
      long sequence = in.readLong();
      long expiryMillis = in.readLong();
      Permit permit =
          new Permit(
              issuer,
              incarnation,
              sequence,
              expiryMillis,
              in.readUTF(),
              in.readUTF(),
              in.readUTF(),
              in.readUTF());
      if (in.read() >= 0) {
        throw new IOException("unexpected bytes after the end");
      }
      return permit;
    }
  }

  private static byte[] mac(KeyRing.Key key, String payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret().bytes(), ALGORITHM));
      mac.update(key.id().getBytes(StandardCharsets.US_ASCII));
      mac.update((byte) '.');
      mac.update(payload.getBytes(StandardCharsets.US_ASCII));
      return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + ALGORITHM, e);
    }
  }
}
