package org.sageladder.scenario.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Free ports of the loopback address, below those that the kernel gives to connections. */
final class LocalPorts {
  static final String HOST = "127.0.0.1";
  private static final int FIRST_PORT = 14_000;
  private static final int PORT_COUNT = 16_000;

  /** More than a run needs, so that runs that start together do not choose the same ports. */
  private static final long PORTS_PER_RUN = 499;

  private int next = (int) (ProcessHandle.current().pid() * PORTS_PER_RUN % PORT_COUNT);

  /** A port that nothing listens on, different from all returned before. */
  int next() throws IOException {
    for (int tried = 0; tried < PORT_COUNT; tried++) {
      int port = FIRST_PORT + next++ % PORT_COUNT;
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return free.getLocalPort();
      } catch (IOException taken) {
        // Try the next port.
      }
    }
    throw new IOException("no free port from " + FIRST_PORT);
  }
}
