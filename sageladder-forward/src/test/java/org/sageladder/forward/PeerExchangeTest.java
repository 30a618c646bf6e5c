package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.forward.control.EntryVm;
import org.sageladder.forward.peer.PeerExchange;

/** Messages between entry VMs on loopback. */
class PeerExchangeTest {
  private static final int RECEIVE_TIMEOUT_MILLIS = 200;

  /** Messages are dropped until the port is open. */
  private static final int MAX_SENDS = 50;

  private static EntryVm vm(String name, int port) {
    return new EntryVm(name, "z", "r", "127.0.0.1:1", "127.0.0.1:" + port, "", 0, true);
  }

  /** Guards against VMs without answers, since the store turned them away, that admit at will. */
  @Test
  void vmsWhoseRegistrationLapsedStillReceiveMessages() throws Exception {
    UsageReport report = new UsageReport("choir", 1, 2, 3, 4, 5);
    try (ForwardingFixture fixture = ForwardingFixture.withoutRules();
        DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
      AtomicReference<PeerExchange> opened = new AtomicReference<>();
      fixture.onLoop(
          () -> {
            PeerExchange exchange =
                PeerExchange.open(
                    fixture.forwarder.loop(), fixture.forwarder, vm("e-0", 0), EventSink.none());
            exchange.updateLiveVms(List.of(vm("e-1", 1), vm("e-2", other.getLocalPort())));
            exchange.updateLiveVms(List.of(vm("e-1", 1)));
            opened.set(exchange);
          });
      boolean isReceived = false;
      for (int i = 0; i < MAX_SENDS && !isReceived; i++) {
        fixture.onLoop(() -> opened.get().send("e-2", report));
        isReceived = receives(other);
      }
      assertTrue(isReceived);
    }
  }

  private static boolean receives(DatagramSocket socket) throws Exception {
    try {
      socket.receive(new DatagramPacket(new byte[512], 512));
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }
}
