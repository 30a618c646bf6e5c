package org.sageladder.scenario.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Free ports of the loopback address, below those that the kernel gives to connections.
 *
 * <p>Each run takes a range of its own and holds it by listening on the first port, so that runs
 * beside each other never use the same ports.
 */
final class LocalPorts implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  private static final int HOSTS_PER_BLOCK = 250;
  private static final int FIRST_PORT = 14_000;
  private static final int RANGE_COUNT = 40;
  private static final int PORTS_PER_RANGE = 400;

  private final ServerSocket guard;
  private int lastPort;

  private LocalPorts(ServerSocket guard) {
    this.guard = guard;
    this.lastPort = guard.getLocalPort();
  }

  /** Address of the {@code index}th machine, counted from 0; all are on this machine's loopback. */
  static String hostOf(int index) {
    return "127.1." + index / HOSTS_PER_BLOCK + '.' + (1 + index % HOSTS_PER_BLOCK);
  }

  /** Takes a range that no other run holds. */
  static LocalPorts reserve() throws IOException {
    for (int range = 0; range < RANGE_COUNT; range++) {
      try {
        return new LocalPorts(listen(FIRST_PORT + range * PORTS_PER_RANGE));
      } catch (IOException taken) {
        // Another run holds this range.
      }
    }
    throw new IOException("no free range of ports from " + FIRST_PORT);
  }

  /** A port that nothing listens on, different from all returned before. */
  int next() throws IOException {
    while (lastPort < guard.getLocalPort() + PORTS_PER_RANGE - 1) {
      lastPort++;
      try (ServerSocket free = listen(lastPort)) {
        return free.getLocalPort();
      } catch (IOException taken) {
        // Another program listens on this port.
      }
    }
    throw new IOException("no free port in the range from " + guard.getLocalPort());
  }

  /** Two consecutive ports that nothing listens on; returns the first. */
  int nextPair() throws IOException {
    int first = next();
    int second = next();
    while (second != first + 1) {
      first = second;
      second = next();
    }
    return first;
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
  }

  @Override
  public void close() throws IOException {
    guard.close();
  }
}
