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
    Inbox first = new Inbox();
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, first);
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    one.updateAddress(new PeerAddress("vm-2", LOOPBACK, two.port()));
    assertTrue(one.send("vm-2", OFFER));
    assertEquals("vm-1", second.nextSender());
    assertTrue(two.send("vm-1", OFFER), "the same connection serves the way back");
    assertEquals("vm-2", first.nextSender());
  }

  @Test
  void sendFailsWithoutPeerAddress() throws Exception {
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    assertFalse(one.send("vm-2", OFFER));
  }

  // On a busy machine a peer's proof and its first message arrive in one piece. The message was
  // passed on before the link was known, so that what its receiver answered went to nobody: the
  // larger frames' decoder was put in first, and at once decoded what had been read already.
  @Test
  void linkIsOpenBeforeFirstMessageIsDelivered() throws Exception {
    AnsweringReceiver answering = new AnsweringReceiver();
    InnerLinks two = open("vm-2", "k", "k1", 1, answering);
    answering.links.complete(two);
    try (RawLink link = RawLink.connect(two.port())) {
      Handshake.Session session = link.authenticate("vm-1");
      byte[] proof = RawLink.withLength(RawLink.seal(session, RawLink.proof()));
      byte[] first = RawLink.withLength(RawLink.seal(session, MessageCodec.encode(OFFER)));
      link.writeRaw(RawLink.concatenate(proof, first));
      assertEquals(
          List.of("opened", "received, answered"),
          answering.receivedEvents.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }
  }

  /** Answers the first message on the links' thread, as the control plane does. */
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

  // A process of another customer, or anybody on the network, connects and sends contracts. Without
  // the key it must neither be heard nor told anything.
  @Test
  void peerWithAnotherSecretIsDroppedBeforeAnyMessage() throws Exception {
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 2, second);
    one.updateAddress(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    await(() -> one.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(second.isEmpty());
    assertEquals(0, two.openLinkCount());
  }

  @Test
  void peerOfAnotherCustomerIsDropped() throws Exception {
    InnerLinks one = open("vm-1", "other", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    one.updateAddress(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  // A VM was replaced and its address given to another. A heartbeat meant for the old one would be
  // answered by the wrong one.
  @Test
  void connectionToReassignedAddressIsDropped() throws Exception {
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    one.updateAddress(new PeerAddress("vm-9", LOOPBACK, two.port()));
    one.send("vm-9", OFFER);
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(second.isEmpty());
  }

  // The operators change the key. For a while some VMs sign with the new one and others with the
  // old.
  @Test
  void peersWithOverlappingKeyRingsConnectDuringRotation() throws Exception {
    Inbox second = new Inbox();
    KeyRing.Key old = RawLink.key("k1", 1);
    KeyRing.Key fresh = RawLink.key("k2", 2);
    InnerLinks one = open("vm-1", "k", KeyRing.of(List.of(old)), new Inbox());
    InnerLinks two = open("vm-2", "k", KeyRing.of(List.of(fresh, old)), second);
    one.updateAddress(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    assertEquals("vm-1", second.nextSender());
  }

  @Test
  void oversizeFirstFrameIsDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(two.port())) {
      link.writeFrame(LinkHandler.MAX_HANDSHAKE_FRAME_BYTES + 1, new byte[0]);
      link.awaitClose();
    }
    await(() -> two.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void bytesThatAreNoHelloAreDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(two.port())) {
      link.writeRaw("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      link.awaitClose();
    }
    await(() -> two.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void peerOfAnUnknownVersionIsDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.connect(two.port())) {
      link.writeFrame(
          RawLink.hello("vm-1").toBuilder()
              .setLowestVersion(8)
              .setHighestVersion(9)
              .build()
              .toByteArray());
      link.awaitClose();
    }
    await(() -> two.counters().dropCount(Reason.VERSION) == 1);
  }

  // Somebody records a whole connection and plays it again later. The recorded frames must not be
  // taken for new ones.
  @Test
  void replayedFramesAreRejected() throws Exception {
    Inbox second = new Inbox();
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    byte[] helloBytes = RawLink.hello("vm-1").toByteArray();
    byte[] recorded;
    try (RawLink link = RawLink.connect(two.port())) {
      recorded = RawLink.seal(link.authenticate("vm-1"), RawLink.proof());
      link.writeFrame(recorded);
      await(() -> two.openLinkCount() == 1);
    }
    await(() -> two.openLinkCount() == 0);
    try (RawLink link = RawLink.connect(two.port())) {
      link.writeFrame(helloBytes);
      link.readFrame();
      link.writeFrame(recorded);
      link.awaitClose();
    }
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  @Test
  void unknownMessageKindEndsTheConnectionAndIsCounted() throws Exception {
    Inbox second = new Inbox();
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    try (RawLink link = RawLink.connect(two.port())) {
      Handshake.Session session = link.authenticate("vm-1");
      link.writeFrame(RawLink.seal(session, new byte[0]));
      byte[] fieldOfALaterVersion = {(byte) 0xba, 0x1f, 0};
      link.writeFrame(RawLink.seal(session, fieldOfALaterVersion));
      link.awaitClose();
    }
    await(() -> two.counters().dropCount(Reason.UNKNOWN_KIND) == 1);
    assertTrue(second.isEmpty());
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
      assertTrue(System.nanoTime() < end, () -> "waited " + TIMEOUT + " in vain");
      Thread.sleep(5);
    }
  }
}
