package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.Loop;

class StandInHostTest {
  @Test
  void killResetsConnectionsAndFreesThePort() throws Exception {
    try (Loop world = Loop.start()) {
      StandInHost host = StandInHost.on(world);
      int port = listen(host, 0);
      try (Socket connected = new Socket(InetAddress.getLoopbackAddress(), port)) {
        connected.getOutputStream().write(1);
        awaitAccepted(host);
        world.execute(host::kill);
        assertThrows(IOException.class, () -> readToEnd(connected));
      }
      StandInHost restarted = StandInHost.on(world);
      assertEquals(port, listen(restarted, port));
    }
  }

  private static int listen(StandInHost host, int port) throws InterruptedException {
    Channel channel =
        host.loop().listen(LocalPorts.HOST, port, acceptingHandler()).sync().channel();
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static ChannelInitializer<Channel> acceptingHandler() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter());
      }
    };
  }

  private static void awaitAccepted(StandInHost host) throws InterruptedException {
    while (host.openChannelCount() < 2) {
      Thread.sleep(5);
    }
  }

  /** Fails with the reset; an ordinary close would end without one. */
  private static void readToEnd(Socket socket) throws IOException {
    while (socket.getInputStream().read() >= 0) {}
  }
}
