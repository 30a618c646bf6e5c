package org.sageladder.forward.peer;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.sageladder.core.quota.QuotaMessage;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;

/**
 * Encodes quota messages: version, kind, the length and bytes of the workspace's name, then the
 * numbers.
 *
 * <p>Hand-written: a VM has no protobuf runtime on this path, and its classes would cost memory on
 * each VM for two messages of six fields.
 */
final class QuotaCodec {
  private static final byte VERSION = 1;
  private static final byte USAGE_REPORT = 1;
  private static final byte TOKEN_GRANT = 2;

  /** Maximum length of a datagram; names of workspaces are far shorter. */
  static final int MAX_DATAGRAM_BYTES = 512;

  private QuotaCodec() {}

  /** A datagram that is not a valid message of this version. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
      super(message);
    }
  }

  static byte[] encode(QuotaMessage message) throws MalformedException {
    ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    try {
      out.put(VERSION);
      if (message instanceof UsageReport report) {
        out.put(USAGE_REPORT);
        putName(out, report.workspace());
        out.putInt(report.reportNumber())
            .putInt(report.totalAdmitted())
            .putInt(report.admittedInWindow());
        out.putInt(report.wantedTokens()).putInt(report.heldTokens());
      } else if (message instanceof TokenGrant grant) {
        out.put(TOKEN_GRANT);
        putName(out, grant.workspace());
        out.putInt(grant.reportNumber()).put((byte) (grant.tokensRequired() ? 1 : 0));
        out.putInt(grant.tokens()).putLong(grant.retryAfterMillis());
      }
    } catch (BufferOverflowException e) {
      throw new MalformedException("the message is longer than " + MAX_DATAGRAM_BYTES + " bytes");
    }
    return Arrays.copyOf(out.array(), out.position());
  }

  private static void putName(ByteBuffer out, String name) {
    byte[] text = name.getBytes(StandardCharsets.UTF_8);
    out.putShort((short) text.length).put(text);
  }

  static QuotaMessage decode(byte[] bytes) throws MalformedException {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    try {
      byte version = in.get();
      if (version != VERSION) {
        throw new MalformedException("unsupported version " + version + "; expected " + VERSION);
      }
      QuotaMessage message = readMessage(in);
      if (in.hasRemaining()) {
        throw new MalformedException(in.remaining() + " trailing bytes after the message");
      }
      return message;
    } catch (BufferUnderflowException e) {
      throw new MalformedException("truncated after " + bytes.length + " bytes");
    }
  }

  private static QuotaMessage readMessage(ByteBuffer in) throws MalformedException {
    byte kind = in.get();
    String workspace = readName(in);
    if (kind == USAGE_REPORT) {
      return new UsageReport(
          workspace,
          readNonNegativeInt(in),
          readNonNegativeInt(in),
          readNonNegativeInt(in),
          readNonNegativeInt(in),
          readNonNegativeInt(in));
    }
    if (kind == TOKEN_GRANT) {
      int number = readNonNegativeInt(in);
      byte tokensRequired = in.get();
      int tokens = readNonNegativeInt(in);
      long retryAfterMillis = in.getLong();
      if (tokensRequired < 0 || tokensRequired > 1 || retryAfterMillis < 0) {
        throw new MalformedException(
            "invalid grant: tokens required "
                + tokensRequired
                + ", retry after milliseconds "
                + retryAfterMillis);
      }
      return new TokenGrant(workspace, number, tokensRequired == 1, tokens, retryAfterMillis);
    }
    throw new MalformedException("unknown kind " + kind + "; expected 1 or 2");
  }

  private static String readName(ByteBuffer in) throws MalformedException {
    int length = in.getShort();
    if (length <= 0 || length > in.remaining()) {
      throw new MalformedException("invalid name length of " + length + " bytes");
    }
    byte[] text = new byte[length];
    in.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static int readNonNegativeInt(ByteBuffer in) throws MalformedException {
    int value = in.getInt();
    if (value < 0) {
      throw new MalformedException("negative number " + value);
    }
    return value;
  }
}
