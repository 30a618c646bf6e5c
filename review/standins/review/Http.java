package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages from a stream; just enough for the stand-ins. */
final class Http {
  private Http() {}

  /** First line and headers of a message. */
  record Head(String firstLine, List<String[]> headers) {
    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equals(name.toLowerCase(Locale.ROOT))) {
          return header[1];
        }
      }
      return null;
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    boolean isChunked() {
      return "chunked".equalsIgnoreCase(header("transfer-encoding"));
    }

    long contentLength() {
      String length = header("content-length");
      return length == null ? -1 : Long.parseLong(length.strip());
    }
  }

  /** A body, or the part of it that came before the connection ended. */
  record Body(byte[] bytes, boolean isComplete) {}

  /** Reads a head; null if the connection ends before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String firstLine = readLine(in);
    if (firstLine == null) {
      return null;
    }
    List<String[]> headers = new ArrayList<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the connection ended inside a head");
      }
      if (line.isEmpty()) {
        return new Head(firstLine, headers);
      }
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("no header: " + line);
      }
      headers.add(
          new String[] {
            line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
            line.substring(colon + 1).strip()
          });
    }
  }

  /** Reads the body of a request. */
  static Body readRequestBody(InputStream in, Head head) throws IOException {
    if (head.isChunked()) {
      return readChunks(in);
    }
    return head.contentLength() < 0 ? new Body(new byte[0], true) : read(in, head.contentLength());
  }

  /** Reads the body of a response, which ends with its connection if it has no length. */
  static Body readResponseBody(InputStream in, Head head) throws IOException {
    if (head.isChunked()) {
      return readChunks(in);
    }
    if (head.contentLength() >= 0) {
      return read(in, head.contentLength());
    }
    return new Body(in.readAllBytes(), true);
  }

  private static Body read(InputStream in, long length) throws IOException {
    byte[] bytes = in.readNBytes((int) length);
    return new Body(bytes, bytes.length == length);
  }

  private static Body readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(in);
      if (size == null) {
        return new Body(all.toByteArray(), false);
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      byte[] chunk = in.readNBytes(length);
      all.writeBytes(chunk);
      String end = readLine(in);
      if (chunk.length < length || end == null) {
        return new Body(all.toByteArray(), false);
      }
      if (length == 0) {
        return new Body(all.toByteArray(), true);
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    return line.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
  }
}
