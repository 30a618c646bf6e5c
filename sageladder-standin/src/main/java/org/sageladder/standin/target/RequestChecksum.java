package org.sageladder.standin.target;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Checksum of a request's method, path with query, and body; a target's answer echoes it. */
public final class RequestChecksum {
  private final CRC32C crc = new CRC32C();
  private long bodyBytes;

  private RequestChecksum() {}

  /** Starts with the request line. */
  public static RequestChecksum begin(String method, String pathAndQuery) {
    RequestChecksum checksum = new RequestChecksum();
    checksum.crc.update((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8));
    return checksum;
  }

  /** The checksum of a whole request. */
  public static long of(String method, String pathAndQuery, byte[] body) {
    RequestChecksum checksum = begin(method, pathAndQuery);
    checksum.add(ByteBuffer.wrap(body));
    return checksum.value();
  }

  /** Takes the next piece of the body and empties it. */
  public void add(ByteBuffer piece) {
    bodyBytes += piece.remaining();
    crc.update(piece);
  }

  /** Body bytes taken so far. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /** The checksum so far, 0 to 2^32 - 1. */
  public long value() {
    return crc.getValue();
  }
}
