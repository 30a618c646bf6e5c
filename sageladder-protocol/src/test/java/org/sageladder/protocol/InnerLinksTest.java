package org.sageladder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.spread.SpreadMessage;
import org.sageladder.protocol.ProtocolException.Reason;

class InnerLinksTest {
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final String LOOPBACK = "127.0.0.1";
  private static final InnerMessage OFFER =
      new InnerMessage.Spread(new SpreadMessage.DigestOffer(42));

  private final List<InnerLinks> openedLinks = new ArrayList<>();

  @AfterEach
  void closeAll() {
    openedLinks.forEach(InnerLinks::close);
  }

  @Test
  void messagesAreSentBothWaysOverOneConnection() throws Exception {
    Inbox vm1Inbox = new Inbox();
    Inbox vm2Inbox = new Inbox();
    InnerLinks vm1Links = open("vm-1", "k", "k1", 1, vm1Inbox);
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, vm2Inbox);
    vm1Links.updateAddress(new PeerAddress("vm-2", LOOPBACK, vm2Links.port()));
    assertTrue(vm1Links.send("vm-2", OFFER));
    assertEquals("vm-1", vm2Inbox.nextSender());
    assertTrue(vm2Links.send("vm-1", OFFER), "the reply uses the same connection");
    assertEquals("vm-2", vm1Inbox.nextSender());
  }

  @Test
  void sendFailsWithoutPeerAddress() throws Exception {
    InnerLinks vm1Links = open("vm-1", "k", "k1", 1, new Inbox());
    assertFalse(vm1Links.send("vm-2", OFFER));
  }

  // On a busy machine a peer's proof and its first message arrive in one read. The decoder for
  // larger frames was installed first and decoded the data that had been read already, so the
  // message was delivered before its link was open, and the receiver's answer could not be sent.
  @Test
  void linkIsOpenBeforeFirstMessageIsDelivered() throws Exception {
    AnsweringReceiver receiver = new AnsweringReceiver();
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, receiver);
    receiver.links.complete(vm2Links);
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      Handshake.Session session = link.authenticate("vm-1");
      byte[] proof = RawLink.withLength(RawLink.seal(session, RawLink.proof()));
      byte[] firstMessage = RawLink.withLength(RawLink.seal(session, MessageCodec.encode(OFFER)));
      link.writeRaw(RawLink.concatenate(proof, firstMessage));
      assertEquals(
          List.of("opened", "received, answered"),
          receiver.receivedEvents.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }
  }

  /** Answers the first message on the event loop's thread, as the control plane does. */
  private static final class AnsweringReceiver implements InnerLinks.Receiver {
    final CompletableFuture<InnerLinks> links = new CompletableFuture<>();
    final CompletableFuture<List<String>> receivedEvents = new CompletableFuture<>();
    private final List<String> events = new ArrayList<>();

    @Override
    public void onLinkOpened(String vm) {
      events.add("opened");
    }

    @Override
    public void onMessage(String vm, InnerMessage message) {
      events.add("received, " + (links.join().send(vm, OFFER) ? "answered" : "not answered"));
      receivedEvents.complete(List.copyOf(events));
    }

    @Override
    public void onLinkLost(String vm) {}
  }

  // A process of another customer, or any host on the network, connects and sends contracts.
  // Without the key it must neither have a message accepted nor receive one.
  @Test
  void peerWithAnotherSecretIsDroppedBeforeAnyMessage() throws Exception {
    Inbox vm2Inbox = new Inbox();
    InnerLinks vm1Links = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks vm2Links = open("vm-2", "k", "k1", 2, vm2Inbox);
    vm1Links.updateAddress(new PeerAddress("vm-2", LOOPBACK, vm2Links.port()));
    vm1Links.send("vm-2", OFFER);
    await(() -> vm1Links.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(vm2Inbox.isEmpty());
    assertEquals(0, vm2Links.openLinkCount());
  }

  @Test
  void peerOfAnotherCustomerIsDropped() throws Exception {
    InnerLinks vm1Links = open("vm-1", "other", "k1", 1, new Inbox());
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, new Inbox());
    vm1Links.updateAddress(new PeerAddress("vm-2", LOOPBACK, vm2Links.port()));
    vm1Links.send("vm-2", OFFER);
    await(() -> vm2Links.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  // A VM was replaced and its address reassigned to another VM. A heartbeat meant for the old VM
  // would be answered by the wrong one.
  @Test
  void connectionToReassignedAddressIsDropped() throws Exception {
    Inbox vm2Inbox = new Inbox();
    InnerLinks vm1Links = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, vm2Inbox);
    vm1Links.updateAddress(new PeerAddress("vm-9", LOOPBACK, vm2Links.port()));
    vm1Links.send("vm-9", OFFER);
    await(() -> vm2Links.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(vm2Inbox.isEmpty());
  }

  // During a key rotation some VMs sign with the new key and others with the old one.
  @Test
  void peersWithOverlappingKeyRingsConnectDuringRotation() throws Exception {
    Inbox vm2Inbox = new Inbox();
    KeyRing.Key oldKey = RawLink.key("k1", 1);
    KeyRing.Key newKey = RawLink.key("k2", 2);
    InnerLinks vm1Links = open("vm-1", "k", KeyRing.of(List.of(oldKey)), new Inbox());
    InnerLinks vm2Links = open("vm-2", "k", KeyRing.of(List.of(newKey, oldKey)), vm2Inbox);
    vm1Links.updateAddress(new PeerAddress("vm-2", LOOPBACK, vm2Links.port()));
    vm1Links.send("vm-2", OFFER);
    assertEquals("vm-1", vm2Inbox.nextSender());
  }

  @Test
  void oversizeFirstFrameIsDroppedAndCounted() throws Exception {
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      link.writeFrame(LinkHandler.MAX_HANDSHAKE_FRAME_BYTES + 1, new byte[0]);
      link.awaitClose();
    }
    await(() -> vm2Links.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void bytesThatAreNoHelloAreDroppedAndCounted() throws Exception {
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      link.writeRaw("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      link.awaitClose();
    }
    await(() -> vm2Links.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void peerOfAnUnknownVersionIsDroppedAndCounted() throws Exception {
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      link.writeFrame(
          RawLink.hello("vm-1").toBuilder()
              .setLowestVersion(8)
              .setHighestVersion(9)
              .build()
              .toByteArray());
      link.awaitClose();
    }
    await(() -> vm2Links.counters().dropCount(Reason.VERSION) == 1);
  }

  // An attacker records a complete connection and replays it later. The recorded frames must not be
  // accepted as new ones.
  @Test
  void replayedFramesAreRejected() throws Exception {
    Inbox vm2Inbox = new Inbox();
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, vm2Inbox);
    byte[] helloBytes = RawLink.hello("vm-1").toByteArray();
    byte[] recorded;
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      recorded = RawLink.seal(link.authenticate("vm-1"), RawLink.proof());
      link.writeFrame(recorded);
      await(() -> vm2Links.openLinkCount() == 1);
    }
    await(() -> vm2Links.openLinkCount() == 0);
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      link.writeFrame(helloBytes);
      link.readFrame();
      link.writeFrame(recorded);
      link.awaitClose();
    }
    await(() -> vm2Links.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  @Test
  void unknownMessageKindEndsTheConnectionAndIsCounted() throws Exception {
    Inbox vm2Inbox = new Inbox();
    InnerLinks vm2Links = open("vm-2", "k", "k1", 1, vm2Inbox);
    try (RawLink link = RawLink.connect(vm2Links.port())) {
      Handshake.Session session = link.authenticate("vm-1");
      link.writeFrame(RawLink.seal(session, new byte[0]));
      byte[] unknownField = {(byte) 0xba, 0x1f, 0};
      link.writeFrame(RawLink.seal(session, unknownField));
      link.awaitClose();
    }
    await(() -> vm2Links.counters().dropCount(Reason.UNKNOWN_KIND) == 1);
    assertTrue(vm2Inbox.isEmpty());
  }

  private InnerLinks open(
      String vm, String customer, String keyId, int secret, InnerLinks.Receiver inbox)
      throws IOException {
    return open(vm, customer, KeyRing.of(List.of(RawLink.key(keyId, secret))), inbox);
  }

  private InnerLinks open(String vm, String customer, KeyRing ring, InnerLinks.Receiver inbox)
      throws IOException {
    LinkIdentity identity = new LinkIdentity(vm, customer, 1);
    InnerLinks links = InnerLinks.open(LOOPBACK, 0, identity, () -> Optional.of(ring), inbox);
    openedLinks.add(links);
    return links;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < end, () -> "waited " + TIMEOUT + " without the condition being met");
      Thread.sleep(5);
    }
  }
}
