package org.sageladder.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

/** A target that does with each request what the test says, byte by byte. */
final class ScriptedTarget implements AutoCloseable {
  /** One request as it came, and the connection to answer on. */
  record Received(String head, String body, Socket connection, int onConnection) {
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

    void answer(String body) throws IOException {
      write(whole(header("Id"), body));
    }

    /** Ends the connection by a reset. */
    void reset() throws IOException {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  /** What becomes of a request. */
  @FunctionalInterface
  interface Script {
    void run(Received request) throws IOException, InterruptedException;
  }

  private final ServerSocket listening;
  private final Script script;
  private final boolean readsBodies;
  final List<Received> received = new CopyOnWriteArrayList<>();
  final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
  final CountDownLatch first = new CountDownLatch(1);

  private ScriptedTarget(Script script, boolean readsBodies) throws IOException {
    this.script = script;
    this.readsBodies = readsBodies;
    this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  static ScriptedTarget of(Script script) throws IOException {
    return new ScriptedTarget(script, true);
  }

  /** A target that answers before it has read the body. */
  static ScriptedTarget early(Script script) throws IOException {
    return new ScriptedTarget(script, false);
  }

  static String whole(String id, String body) {
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
    return listening.getLocalPort();
  }

  private void accept() {
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        start(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      int count = 0;
      String head = head(in);
      while (!head.isEmpty()) {
        count++;
        byte[] bytes = readsBodies ? in.readNBytes(length(head)) : new byte[0];
        String body = new String(bytes, StandardCharsets.ISO_8859_1);
        Received request = new Received(head, body, socket, count);
        received.add(request);
        first.countDown();
        script.run(request);
        head = head(in);
      }
      ends.add("closed");
    } catch (IOException e) {
      ends.add(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int length(String head) {
    String found = new Received(head, "", new Socket(), 0).header("content-length");
    return found.isEmpty() ? 0 : Integer.parseInt(found);
  }

  private static String head(InputStream in) throws IOException {
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
    listening.close();
  }
}
