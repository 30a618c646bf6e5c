package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** One connection of a client to an entry VM. */
final class Client implements AutoCloseable {
  private final Socket socket;
  private final BufferedInputStream in;

  /** What a client got. */
  record Answer(Http.Head head, Http.Body body) {
    int status() {
      return head.status();
    }
  }

  Client(String ip, int port) throws IOException {
    this(ip, port, 0);
  }

  /**
   * Connects.
   *
   * @param windowBytes size of the receive window, or 0 for the usual one
   */
  Client(String ip, int port, int windowBytes) throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    if (windowBytes > 0) {
      socket.setReceiveBufferSize(windowBytes);
    }
    socket.connect(new java.net.InetSocketAddress(java.net.InetAddress.getByName(ip), port), 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 16_384);
  }

  Socket socket() {
    return socket;
  }

  static String head(String method, String path, String id, long deadlineMillis, String more) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: " + id
        + "\r\nRequest-Deadline: " + deadlineMillis + "\r\n" + more + "\r\n";
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Writes a body in chunks. */
  void writeChunks(byte[] body, int chunkBytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    for (int from = 0; from < body.length; from += chunkBytes) {
      int length = Math.min(chunkBytes, body.length - from);
      out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.write(body, from, length);
      out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Reads one answer; null if the connection ends before its first byte. */
  Answer read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    Http.Head head = Http.readHead(in);
    return head == null ? null : new Answer(head, Http.readResponseBody(in, head));
  }

  static long checksum(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
