package org.sageladder.core.quarantine;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;

/** Encodes a crash report for the message that carries it to the other entry VMs. */
public final class CrashReportCodec {
  private static final int MAX_FINGERPRINTS = 1_000;

  private CrashReportCodec() {}

  /** Encodes {@code report} in about 40 bytes plus 8 bytes per fingerprint. */
  public static byte[] encode(CrashReport report) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeUTF(report.target());
      out.writeLong(report.incarnation());
      out.writeLong(report.atMillis());
      out.writeInt(report.fingerprints().size());
      for (long fingerprint : report.fingerprints()) {
        out.writeLong(fingerprint);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes what {@link #encode} wrote.
   *
   * @throws IOException if the bytes are truncated or contain more fingerprints than any target has
   *     slots
   */
  public static CrashReport decode(byte[] bytes) throws IOException {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      String target = in.readUTF();
      long incarnation = in.readLong();
      long atMillis = in.readLong();
      int count = in.readInt();
      if (count < 0 || count > MAX_FINGERPRINTS) {
        throw new IOException("crash report has " + count + " fingerprints; expected at most 1000");
      }
      Set<Long> fingerprints = new HashSet<>();
      for (int i = 0; i < count; i++) {
        fingerprints.add(in.readLong());
      }
      return new CrashReport(target, incarnation, atMillis, fingerprints);
    }
  }
}
