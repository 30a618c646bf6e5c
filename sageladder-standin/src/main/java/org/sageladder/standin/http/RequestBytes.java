package org.sageladder.standin.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Builds the bytes of HTTP/1.1 requests with unusual heads and bodies.
 *
 * <pre>{@code
 * RequestBytes.of("POST /a/1 HTTP/1.1", "Host: h", "Transfer-Encoding: chunked")
 *     .emptyHeaders(3_000)
 *     .endOfHead()
 *     .chunks(100, 1, "")
 *     .toByteArray();
 * }</pre>
 */
public final class RequestBytes {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private RequestBytes() {}

  /** Begins a request with its request line and its first headers. */
  public static RequestBytes of(String... lines) {
    RequestBytes request = new RequestBytes();
    for (String line : lines) {
      request.text(line + "\r\n");
    }
    return request;
  }

  /** Adds {@code count} headers of four bytes each, all with the same name and without a value. */
  public RequestBytes emptyHeaders(int count) {
    return text("a:\r\n".repeat(count));
  }

  /** Adds {@code count} headers with different names and without values. */
  public RequestBytes distinctHeaders(int count) {
    for (int i = 0; i < count; i++) {
      text(Integer.toString(i, Character.MAX_RADIX) + ":\r\n");
    }
    return this;
  }

  /** Ends the head. */
  public RequestBytes endOfHead() {
    return text("\r\n");
  }

  /**
   * Adds {@code count} chunks of a body.
   *
   * @param size bytes of data in each chunk
   * @param extension chunk extension with its semicolon, or empty
   */
  public RequestBytes chunks(int count, int size, String extension) {
    String head = Integer.toHexString(size).toLowerCase(Locale.ROOT) + extension + "\r\n";
    return text((head + "x".repeat(size) + "\r\n").repeat(count));
  }

  /** Adds characters as they are. */
  public RequestBytes text(String text) {
    bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  /** Repeats all that was added so far until it stands here {@code count} times. */
  public RequestBytes repeated(int count) {
    byte[] once = bytes.toByteArray();
    for (int i = 1; i < count; i++) {
      bytes.writeBytes(once);
    }
    return this;
  }

  /** Returns the bytes of all requests. */
  public byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
