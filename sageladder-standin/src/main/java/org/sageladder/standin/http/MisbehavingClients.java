package org.sageladder.standin.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Clients that each send the same bytes on a connection of their own and keep it open, whatever the
 * server answers. A client whose connection ends opens another one a few times.
 *
 * <pre>{@code
 * try (MisbehavingClients clients =
 *     MisbehavingClients.of(address, 48, request, MisbehavingClients.Reading.NOTHING)) {
 *   clients.play();
 *   // All connections that the server has not closed are still open here.
 * }
 * }</pre>
 */
public final class MisbehavingClients implements AutoCloseable {
  private static final int CONNECTIONS_PER_CLIENT = 4;
  private static final int STEP_MILLIS = 10;

  /** The clients have sent what the server takes once nothing has moved for so many steps. */
  private static final int QUIET_STEPS = 50;

  /** Only guards against a server that takes a few bytes in each step. */
  private static final int MAX_STEPS = 2_000;

  private static final int MAX_BYTES_PER_STEP = 256 << 10;
  private static final int SLOW_BYTES_PER_STEP = 64;

  /** How much of the responses the clients read. */
  public enum Reading {
    /** Nothing, so that responses stay in the server's memory. */
    NOTHING(0),
    /** A few bytes in each step. */
    SLOWLY(SLOW_BYTES_PER_STEP),
    /** All that has arrived. */
    EVERYTHING(MAX_BYTES_PER_STEP);

    private final int bytesPerStep;

    Reading(int bytesPerStep) {
      this.bytesPerStep = bytesPerStep;
    }
  }

  private final InetSocketAddress server;
  private final Reading reading;
  private final ByteBuffer readBuffer;
  private final List<Client> clients = new ArrayList<>();

  private MisbehavingClients(InetSocketAddress server, Reading reading) {
    this.server = server;
    this.reading = reading;
    this.readBuffer = ByteBuffer.allocate(reading.bytesPerStep);
  }

  /** Creates {@code count} clients that connect once they are played. */
  public static MisbehavingClients of(
      InetSocketAddress server, int count, byte[] request, Reading reading) {
    MisbehavingClients created = new MisbehavingClients(server, reading);
    for (int i = 0; i < count; i++) {
      created.clients.add(created.new Client(request));
    }
    return created;
  }

  /** Connects and sends until the server takes nothing more, or has closed all connections. */
  public void play() throws InterruptedException {
    int quietSteps = 0;
    for (int step = 0; step < MAX_STEPS && quietSteps < QUIET_STEPS; step++) {
      boolean hasMoved = false;
      for (Client client : clients) {
        hasMoved |= client.step();
      }
      quietSteps = hasMoved ? 0 : quietSteps + 1;
      Thread.sleep(STEP_MILLIS);
    }
  }

  /** Number of connections that neither side has closed, as far as the clients know. */
  public int openConnectionCount() {
    return (int) clients.stream().filter(client -> client.channel != null).count();
  }

  @Override
  public void close() {
    clients.forEach(Client::disconnect);
  }

  private final class Client {
    private final ByteBuffer unsent;
    private @Nullable SocketChannel channel;
    private int connectionCount;

    Client(byte[] request) {
      this.unsent = ByteBuffer.wrap(request);
    }

    /** Moves some bytes; false if none can be moved. */
    boolean step() {
      try {
        SocketChannel open = channel;
        if (open == null) {
          return connect();
        }
        if (!open.finishConnect()) {
          return false;
        }
        boolean hasSent = send(open);
        boolean hasReceived = receive(open);
        return hasSent || hasReceived;
      } catch (IOException e) {
        // The server has closed the connection or accepts none.
        disconnect();
        return true;
      }
    }

    private boolean connect() throws IOException {
      if (connectionCount == CONNECTIONS_PER_CLIENT) {
        return false;
      }
      connectionCount++;
      unsent.clear();
      SocketChannel opened = SocketChannel.open();
      channel = opened;
      opened.configureBlocking(false);
      opened.connect(server);
      return true;
    }

    private boolean send(SocketChannel open) throws IOException {
      int end = unsent.limit();
      unsent.limit(Math.min(end, unsent.position() + MAX_BYTES_PER_STEP));
      int count = open.write(unsent);
      unsent.limit(end);
      return count > 0;
    }

    private boolean receive(SocketChannel open) throws IOException {
      if (reading == Reading.NOTHING) {
        return false;
      }
      int count = open.read(readBuffer.clear());
      if (count < 0) {
        disconnect();
        return true;
      }
      return count > 0 && reading == Reading.EVERYTHING;
    }

    void disconnect() {
      SocketChannel open = channel;
      channel = null;
      if (open == null) {
        return;
      }
      try {
        open.close();
      } catch (IOException e) {
        // The descriptor is released all the same.
      }
    }
  }
}
