import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One connection of a client, and the answers on it. */
final class Http implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /** An answer; the body is complete. */
  record Answer(int status, Map<String, String> headers, byte[] body) {}

  Http(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1_000);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  Socket socket() {
    return socket;
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private String line() throws IOException {
    StringBuilder out = new StringBuilder();
    int c = in.read();
    while (c >= 0 && c != '\n') {
      out.append((char) c);
      c = in.read();
    }
    if (c < 0) {
      throw new IOException("the connection ended");
    }
    return out.toString().stripTrailing();
  }

  Answer receive() throws IOException {
    String first = line();
    int status = Integer.parseInt(first.split(" ")[1]);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
      int size = Integer.parseInt(line().strip(), 16);
      while (size > 0) {
        body.write(readFully(size));
        line();
        size = Integer.parseInt(line().strip(), 16);
      }
      line();
      return new Answer(status, headers, body.toByteArray());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Answer(status, headers, readFully(length));
  }

  private byte[] readFully(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the answer was cut off");
    }
    return bytes;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
