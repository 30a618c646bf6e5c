package org.sageladder.client;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Function;

/**
 * An entry VM that answers each request head with the bytes of a test's script, then closes the
 * connection unless it is to keep connections.
 */
final class ScriptedEntry implements AutoCloseable {
  private final ServerSocket server;
  private final Thread acceptor;
  private final List<String> heads = Collections.synchronizedList(new ArrayList<>());
  private volatile Function<String, String> script = head -> "";
  private volatile boolean keepsConnections;

  private ScriptedEntry(ServerSocket server) {
    this.server = server;
    this.acceptor = new Thread(this::serve, "scripted-entry");
    acceptor.setDaemon(true);
  }

  static ScriptedEntry start() throws IOException {
    ScriptedEntry entry =
        new ScriptedEntry(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    entry.acceptor.start();
    return entry;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /**
   * Sets the function that returns the raw response to a request head; an empty one only closes the
   * connection.
   */
  ScriptedEntry useScript(Function<String, String> newScript) {
    script = newScript;
    return this;
  }

  /** Keeps connections open, one at a time, until the client closes them. */
  ScriptedEntry keepConnections() {
    keepsConnections = true;
    return this;
  }

  /** Heads of all requests so far, without look-ups. */
  List<String> requests() {
    return List.copyOf(heads).stream().filter(head -> head.contains("/v1/request/")).toList();
  }

  /** Number of look-ups so far. */
  long lookUpCount() {
    return List.copyOf(heads).stream().filter(head -> head.contains("/v1/look-up")).count();
  }

  private void serve() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = readHead(in);
        while (!head.isEmpty()) {
          heads.add(head);
          socket.getOutputStream().write(script.apply(head).getBytes(StandardCharsets.UTF_8));
          head = keepsConnections ? readHead(in) : "";
        }
      } catch (IOException ignored) {
        // The client disconnected or the test has ended.
      }
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      bytes.write(b);
      String text = bytes.toString(StandardCharsets.UTF_8);
      if (text.endsWith("\r\n\r\n")) {
        return text;
      }
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** A complete response that announces the close of its connection. */
  static String response(int status, String resultHeaders, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\nConnection: close\r\n"
        + resultHeaders
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Closes the port and waits until it refuses connections: a thread that is accepting when the
   * socket is closed may still accept one more.
   */
  @Override
  public void close() throws IOException {
    server.close();
    boolean isInterrupted = false;
    while (acceptor.isAlive()) {
      try {
        acceptor.join();
      } catch (InterruptedException e) {
        isInterrupted = true;
      }
    }
    if (isInterrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
