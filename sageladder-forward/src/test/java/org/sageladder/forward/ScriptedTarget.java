package org.sageladder.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

/** A target whose responses are scripted byte by byte by the test. */
final class ScriptedTarget implements AutoCloseable {
  /** A received request, and the connection to respond on. */
  record ReceivedRequest(String head, String body, Socket connection, int indexOnConnection) {
    String header(String name) {
      return head.lines()
          .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
          .map(line -> line.substring(name.length() + 1).strip())
          .findFirst()
          .orElse("");
    }

    String path() {
      return head.split(" ", -1)[1];
    }

    void write(String text) throws IOException {
      OutputStream out = connection.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void writeUnchecked(String text) {
      try {
        write(text);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    void respond(String body) throws IOException {
      write(okResponse(header("Id"), body));
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  /** Handles one request. */
  @FunctionalInterface
  interface Script {
    void run(ReceivedRequest request) throws IOException, InterruptedException;
  }

  private final ServerSocket serverSocket;
  private final Script script;
  private final boolean readsBodies;
  final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
  final BlockingQueue<String> connectionEnds = new LinkedBlockingQueue<>();
  final CountDownLatch firstRequest = new CountDownLatch(1);

  private ScriptedTarget(Script script, boolean readsBodies) throws IOException {
    this.script = script;
    this.readsBodies = readsBodies;
    this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  static ScriptedTarget of(Script script) throws IOException {
    return new ScriptedTarget(script, true);
  }

  /** Creates a target that responds before it has read the body. */
  static ScriptedTarget respondingEarly(Script script) throws IOException {
    return new ScriptedTarget(script, false);
  }

  static String okResponse(String id, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + id
        + "\r\nSeal: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "target");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return serverSocket.getLocalPort();
  }

  private void accept() {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        start(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      int count = 0;
      String head = readHead(in);
      while (!head.isEmpty()) {
        count++;
        byte[] bytes = readsBodies ? in.readNBytes(contentLength(head)) : new byte[0];
        String body = new String(bytes, StandardCharsets.ISO_8859_1);
        ReceivedRequest request = new ReceivedRequest(head, body, socket, count);
        receivedRequests.add(request);
        firstRequest.countDown();
        script.run(request);
        head = readHead(in);
      }
      connectionEnds.add("closed");
    } catch (IOException e) {
      connectionEnds.add(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int contentLength(String head) {
    String length = new ReceivedRequest(head, "", new Socket(), 0).header("content-length");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    int read = in.read();
    while (read >= 0) {
      head.append((char) read);
      if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
        return head.toString();
      }
      read = in.read();
    }
    return "";
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
  }
}
