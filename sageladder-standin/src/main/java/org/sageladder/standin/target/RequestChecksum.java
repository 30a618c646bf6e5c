package org.sageladder.standin.target;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** CRC32C over a request's method, path with query, and body; a target's answer echoes it. */
public final class RequestChecksum {
  private final CRC32C crc = new CRC32C();
  private long bodyBytes;

  private RequestChecksum() {}

  /** Starts a checksum with the method and path. */
  public static RequestChecksum begin(String method, String pathAndQuery) {
    RequestChecksum checksum = new RequestChecksum();
    checksum.crc.update((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8));
    return checksum;
  }

  /** Returns the checksum of a complete request. */
  public static long of(String method, String pathAndQuery, byte[] body) {
    RequestChecksum checksum = begin(method, pathAndQuery);
    checksum.add(ByteBuffer.wrap(body));
    return checksum.value();
  }

  /** Consumes the next piece of the body. */
  public void add(ByteBuffer piece) {
    bodyBytes += piece.remaining();
    crc.update(piece);
  }

  /** Returns the number of body bytes consumed so far. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /** Returns the checksum so far, 0 to 2^32 - 1. */
  public long value() {
    return crc.getValue();
  }
}
