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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.spread.SpreadMessage;
import org.sageladder.protocol.ProtocolException.Reason;

class InnerLinksTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final InnerMessage OFFER =
      new InnerMessage.Spread(new SpreadMessage.DigestOffer(42));

  private final List<InnerLinks> opened = new ArrayList<>();

  @AfterEach
  void closeAll() {
    opened.forEach(InnerLinks::close);
  }

  @Test
  void messagesTravelBothWaysOverOneConnection() throws Exception {
    Inbox first = new Inbox();
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, first);
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    one.address(new PeerAddress("vm-2", LOOPBACK, two.port()));
    assertTrue(one.send("vm-2", OFFER));
    assertEquals("vm-1", second.next());
    assertTrue(two.send("vm-1", OFFER), "the same connection serves the way back");
    assertEquals("vm-2", first.next());
  }

  @Test
  void peerWithoutAKnownAddressIsNotSentTo() throws Exception {
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    assertFalse(one.send("vm-2", OFFER));
  }

  // A process of another customer, or anybody on the network, connects and sends contracts. Without
  // the key it must neither be heard nor told anything.
  @Test
  void peerWithAnotherSecretIsDroppedBeforeItIsHeard() throws Exception {
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 2, second);
    one.address(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    await(() -> one.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(second.isEmpty());
    assertEquals(0, two.openLinks());
  }

  @Test
  void peerOfAnotherCustomerIsDropped() throws Exception {
    InnerLinks one = open("vm-1", "other", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    one.address(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  // A VM was replaced and its address given to another. A heartbeat meant for the old one would be
  // answered by the wrong one.
  @Test
  void connectionToAnAddressThatNowBelongsToAnotherVmIsDropped() throws Exception {
    Inbox second = new Inbox();
    InnerLinks one = open("vm-1", "k", "k1", 1, new Inbox());
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    one.address(new PeerAddress("vm-9", LOOPBACK, two.port()));
    one.send("vm-9", OFFER);
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
    assertTrue(second.isEmpty());
  }

  // The operators change the key. For a while some VMs sign with the new one and others with the
  // old.
  @Test
  void peersWhoseKeyRingsOverlapTalkDuringARotation() throws Exception {
    Inbox second = new Inbox();
    KeyRing.Key old = RawLink.key("k1", 1);
    KeyRing.Key fresh = RawLink.key("k2", 2);
    InnerLinks one = open("vm-1", "k", KeyRing.of(List.of(old)), new Inbox());
    InnerLinks two = open("vm-2", "k", KeyRing.of(List.of(fresh, old)), second);
    one.address(new PeerAddress("vm-2", LOOPBACK, two.port()));
    one.send("vm-2", OFFER);
    assertEquals("vm-1", second.next());
  }

  @Test
  void oversizeFirstFrameIsDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.dial(two.port())) {
      link.frame(LinkHandler.LARGEST_FIRST_FRAME + 1, new byte[0]);
      link.awaitEnd();
    }
    await(() -> two.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void bytesThatAreNoHelloAreDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.dial(two.port())) {
      link.raw("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      link.awaitEnd();
    }
    await(() -> two.counters().dropCount(Reason.TOO_LARGE) == 1);
  }

  @Test
  void peerOfAnUnknownVersionIsDroppedAndCounted() throws Exception {
    InnerLinks two = open("vm-2", "k", "k1", 1, new Inbox());
    try (RawLink link = RawLink.dial(two.port())) {
      link.frame(
          RawLink.hello("vm-1").toBuilder()
              .setLowestVersion(8)
              .setHighestVersion(9)
              .build()
              .toByteArray());
      link.awaitEnd();
    }
    await(() -> two.counters().dropCount(Reason.VERSION) == 1);
  }

  // Somebody records a whole connection and plays it again later. The recorded frames must not be
  // taken for new ones.
  @Test
  void framesOfAnEarlierConnectionAreRefusedOnANewOne() throws Exception {
    Inbox second = new Inbox();
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    byte[] helloBytes = RawLink.hello("vm-1").toByteArray();
    byte[] recorded;
    try (RawLink link = RawLink.dial(two.port())) {
      recorded = RawLink.sealed(link.authenticate("vm-1"), RawLink.proof());
      link.frame(recorded);
      await(() -> two.openLinks() == 1);
    }
    await(() -> two.openLinks() == 0);
    try (RawLink link = RawLink.dial(two.port())) {
      link.frame(helloBytes);
      link.readFrame();
      link.frame(recorded);
      link.awaitEnd();
    }
    await(() -> two.counters().dropCount(Reason.NOT_AUTHENTIC) == 1);
  }

  @Test
  void unknownMessageKindEndsTheConnectionAndIsCounted() throws Exception {
    Inbox second = new Inbox();
    InnerLinks two = open("vm-2", "k", "k1", 1, second);
    try (RawLink link = RawLink.dial(two.port())) {
      Handshake.Session session = link.authenticate("vm-1");
      link.frame(RawLink.sealed(session, new byte[0]));
      byte[] fieldOfALaterVersion = {(byte) 0xba, 0x1f, 0};
      link.frame(RawLink.sealed(session, fieldOfALaterVersion));
      link.awaitEnd();
    }
    await(() -> two.counters().dropCount(Reason.UNKNOWN_KIND) == 1);
    assertTrue(second.isEmpty());
  }

  private InnerLinks open(String vm, String customer, String keyId, int secret, Inbox inbox)
      throws IOException {
    return open(vm, customer, KeyRing.of(List.of(RawLink.key(keyId, secret))), inbox);
  }

  private InnerLinks open(String vm, String customer, KeyRing ring, Inbox inbox)
      throws IOException {
    LinkIdentity identity = new LinkIdentity(vm, customer, 1);
    InnerLinks links = InnerLinks.open(LOOPBACK, 0, identity, () -> Optional.of(ring), inbox);
    opened.add(links);
    return links;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "waited 10 s in vain");
      Thread.sleep(5);
    }
  }

  private static final class Inbox implements InnerLinks.Receiver {
    private final BlockingQueue<String> senders = new LinkedBlockingQueue<>();

    @Override
    public void received(String vm, InnerMessage message) {
      senders.add(vm);
    }

    @Override
    public void opened(String vm) {}

    @Override
    public void lost(String vm) {}

    boolean isEmpty() {
      return senders.isEmpty();
    }

    String next() throws InterruptedException {
      String sender = senders.poll(10, TimeUnit.SECONDS);
      return sender == null ? "nobody" : sender;
    }
  }
}
