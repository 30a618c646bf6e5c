package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on one loopback address with a thread for each connection. */
final class Server implements AutoCloseable {
  /** Handles one request; returns false if the connection is to be closed. */
  interface Handler {
    boolean handle(Http.Head head, Http.Body body, OutputStream out, Socket connection)
        throws IOException, InterruptedException;
  }

  private static final int BACKLOG = 50;

  private final String host;
  private final int port;
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<Socket> fillers = new ArrayList<>();
  private volatile ServerSocket listener;
  private volatile boolean isDark;

  Server(String host, int port, Handler handler) throws IOException {
    this.host = host;
    this.port = port;
    this.handler = handler;
    listen();
  }

  int port() {
    return port;
  }

  String address() {
    return host + ":" + port;
  }

  private void listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), port), BACKLOG);
    socket.setSoTimeout(10);
    listener = socket;
    Thread thread = new Thread(() -> accept(socket), "accept " + address());
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        if (isDark) {
          Thread.sleep(10);
          continue;
        }
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        open.add(connection);
        Thread thread = new Thread(() -> serve(connection), "connection " + address());
        thread.setDaemon(true);
        thread.start();
      } catch (java.net.SocketTimeoutException e) {
        // Looks whether the server is dark.
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
      OutputStream out = connection.getOutputStream();
      while (true) {
        Http.Head head = Http.readHead(in);
        if (head == null) {
          return;
        }
        Http.Body body = Http.readRequestBody(in, head);
        if (isDark || !handler.handle(head, body, out, connection)) {
          waitWhileDark();
          return;
        }
      }
    } catch (IOException | RuntimeException e) {
      // The other side has gone; what matters was recorded by the handler.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(connection);
    }
  }

  private void waitWhileDark() throws InterruptedException {
    while (isDark) {
      Thread.sleep(20);
    }
  }

  static void respond(OutputStream out, int status, String reason, String headers, byte[] body)
      throws IOException {
    byte[] head =
        ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Length: " + body.length + "\r\n"
                + headers + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    out.write(all);
    out.flush();
  }

  /** Ends all connections and refuses new ones, as a crashed server does. */
  void crash() throws IOException {
    listener.close();
    resetConnections();
  }

  private void resetConnections() throws IOException {
    for (Socket connection : open) {
      try {
        connection.setSoLinger(true, 0);
        connection.close();
      } catch (IOException e) {
        // It has been closed meanwhile.
      }
    }
  }

  /**
   * Loses power: open connections stay silent, and new ones are not established, since the queue of
   * the listening socket is full and the kernel drops further opening packets.
   */
  void goDark() throws IOException {
    isDark = true;
    for (int i = 0; i < 2 * BACKLOG; i++) {
      Socket filler = new Socket();
      try {
        filler.connect(new java.net.InetSocketAddress(InetAddress.getByName(host), port), 50);
        fillers.add(filler);
      } catch (IOException e) {
        filler.close();
        return;
      }
    }
  }

  /** Has power again: old connections are gone, new ones are accepted. */
  void returnFromDark() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    resetConnections();
    isDark = false;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : open) {
      connection.close();
    }
  }
}
