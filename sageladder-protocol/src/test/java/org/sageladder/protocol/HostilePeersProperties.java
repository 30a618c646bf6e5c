package org.sageladder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.spread.SpreadMessage;
import org.sageladder.protocol.ProtocolException.Reason;

/**
 * Tests the inner port against unauthenticated clients and faulty peers. Each such connection must
 * be closed, be counted once under its reason, and affect neither the link of an authentic peer nor
 * the next connection.
 */
class HostilePeersProperties {
  private static final InnerMessage OFFER =
      new InnerMessage.Spread(new SpreadMessage.DigestOffer(42));
  private static final byte[] ENCODED_OFFER = MessageCodec.encode(OFFER);

  private final Inbox inbox = new Inbox();
  private InnerLinks authenticPeer;
  private InnerLinks links;

  @BeforeProperty
  void openLinks() throws Exception {
    links = open("vm-2", inbox);
    authenticPeer = open("vm-1", new Inbox());
    authenticPeer.updateAddress(new PeerAddress("vm-2", "127.0.0.1", links.port()));
    assertAuthenticPeerCanSend();
  }

  @AfterProperty
  void closeLinks() {
    authenticPeer.close();
    links.close();
  }

  private static InnerLinks open(String vm, InnerLinks.Receiver receiver) throws IOException {
    KeyRing ring = KeyRing.of(List.of(RawLink.key("k1", 1)));
    LinkIdentity identity = new LinkIdentity(vm, "k", 1);
    return InnerLinks.open("127.0.0.1", 0, identity, () -> Optional.of(ring), receiver);
  }

  // A port scanner, or a client of another protocol, sends an arbitrary first frame. It must be
  // dropped with the reason that the handshake returns for the same bytes.
  @Property(tries = 100, seed = "20261202")
  void arbitraryFirstFrameIsDroppedWithExpectedReason(@ForAll @Size(max = 200) byte[] firstFrame)
      throws Exception {
    Reason reason = parseFailure(() -> RawLink.handshake("vm-2").accept(firstFrame)).orElseThrow();
    assertDropped(reason, link -> link.writeFrame(firstFrame));
  }

  // The same with a valid first frame of which one byte was corrupted. If only the name or the
  // nonce is corrupted, the hello is answered, but the proof that follows is wrong.
  @Property(tries = 100, seed = "20261202")
  void corruptedFirstFrameIsDroppedWithExpectedReason(@ForAll int position, @ForAll byte newByte)
      throws Exception {
    byte[] corrupted = RawLink.hello("vm-9").toByteArray();
    corrupted[Math.floorMod(position, corrupted.length)] = newByte;
    Optional<Reason> expectedReason =
        parseFailure(() -> RawLink.handshake("vm-2").accept(corrupted));
    assertDropped(
        expectedReason.orElse(Reason.NOT_AUTHENTIC),
        link -> {
          link.writeFrame(corrupted);
          if (expectedReason.isEmpty()) {
            link.readFrame();
            link.writeFrame(new byte[FrameMac.TAG_BYTES + 1]);
          }
        });
  }

  // The length field decides how much data is buffered before a frame is complete. Before the proof
  // of the key, a frame above the limit for a hello must be rejected at once, without waiting for
  // its body.
  @Property(tries = 50, seed = "20261202")
  void oversizeFirstFrameIsDroppedBeforeItsBody(
      @ForAll @IntRange(min = LinkHandler.MAX_HANDSHAKE_FRAME_BYTES + 1) int length)
      throws Exception {
    assertDropped(Reason.TOO_LARGE, link -> link.writeFrame(length, new byte[0]));
  }

  // Bytes of another protocol often set the highest bit of the length, which is unsigned.
  @Property(tries = 50, seed = "20261202")
  void firstFrameWithNegativeLengthIsOversize(
      @ForAll @IntRange(min = Integer.MIN_VALUE, max = -1) int length) throws Exception {
    assertDropped(Reason.TOO_LARGE, link -> link.writeFrame(length, new byte[0]));
  }

  @Property(tries = 20, seed = "20261202")
  void oversizeFrameFromAuthenticatedPeerIsDroppedBeforeItsBody(
      @ForAll @IntRange(min = LinkHandler.MAX_FRAME_BYTES + 1) int length) throws Exception {
    assertDropped(
        Reason.TOO_LARGE,
        link -> {
          link.writeFrame(RawLink.seal(link.authenticate("vm-9"), RawLink.proof()));
          awaitOpenLinks(2);
          link.writeFrame(length, new byte[0]);
        });
  }

  // Bytes are corrupted on the network, or an attacker writes into the connection of a peer that
  // has the key.
  @Property(tries = 50, seed = "20261202")
  void frameWithoutValidMacIsDropped(@ForAll @Size(max = 200) byte[] frame) throws Exception {
    Reason reason = frame.length < FrameMac.TAG_BYTES ? Reason.MALFORMED : Reason.NOT_AUTHENTIC;
    assertDropped(
        reason,
        link -> {
          link.authenticate("vm-9");
          link.writeFrame(frame);
        });
  }

  // A peer of another version, or a faulty one, sends an authenticated frame that is not a valid
  // message. A body that the decoder accepts is delivered; one that it rejects ends the connection
  // with the reason of the decoder.
  @Property(tries = 100, seed = "20261202")
  void authenticatedBodyIsDeliveredOrDroppedWithDecoderReason(
      @ForAll @Size(max = 60) byte[] body, @ForAll int truncatedLength, @ForAll boolean random)
      throws Exception {
    byte[] payload =
        random
            ? body
            : Arrays.copyOf(ENCODED_OFFER, Math.floorMod(truncatedLength, ENCODED_OFFER.length));
    Optional<Reason> expectedReason = parseFailure(() -> MessageCodec.decode(payload));
    Scenario scenario =
        link -> {
          Handshake.Session session = link.authenticate("vm-9");
          link.writeFrame(RawLink.seal(session, RawLink.proof()));
          link.writeFrame(RawLink.seal(session, payload));
        };
    if (expectedReason.isPresent()) {
      assertDropped(expectedReason.get(), scenario);
      return;
    }
    try (RawLink link = RawLink.connect(links.port())) {
      scenario.run(link);
      assertEquals("vm-9", inbox.nextSender());
    }
    awaitOpenLinks(1);
  }

  // A peer fails in the middle of a frame. This is not a protocol violation: no drop is counted,
  // and no state is kept.
  @Property(tries = 50, seed = "20261202")
  void truncatedFrameIsNotCountedAsDrop(@ForAll @IntRange(min = 1, max = 200) int missingBytes)
      throws Exception {
    long before = totalDropCount();
    try (RawLink link = RawLink.connect(links.port())) {
      byte[] hello = RawLink.hello("vm-9").toByteArray();
      link.writeFrame(hello.length + missingBytes, hello);
    }
    assertAuthenticPeerCanSend();
    assertEquals(before, totalDropCount());
  }

  @FunctionalInterface
  private interface Scenario {
    void run(RawLink link) throws Exception;
  }

  @FunctionalInterface
  private interface Parser {
    Object parse() throws ProtocolException;
  }

  private static Optional<Reason> parseFailure(Parser parser) {
    try {
      parser.parse();
      return Optional.empty();
    } catch (ProtocolException e) {
      return Optional.of(e.reason());
    }
  }

  private void assertDropped(Reason reason, Scenario scenario) throws Exception {
    long reasonCountBefore = links.counters().dropCount(reason);
    long totalCountBefore = totalDropCount();
    try (RawLink link = RawLink.connect(links.port())) {
      scenario.run(link);
      link.awaitClose();
    }
    assertEquals(reasonCountBefore + 1, links.counters().dropCount(reason), reason.toString());
    assertEquals(totalCountBefore + 1, totalDropCount(), "drop not counted exactly once");
    awaitOpenLinks(1);
    assertAuthenticPeerCanSend();
  }

  private void assertAuthenticPeerCanSend() throws InterruptedException {
    assertTrue(authenticPeer.send("vm-2", OFFER));
    assertEquals("vm-1", inbox.nextSender());
  }

  private long totalDropCount() {
    long sum = 0;
    for (Reason reason : Reason.values()) {
      sum += links.counters().dropCount(reason);
    }
    return sum;
  }

  private void awaitOpenLinks(int count) throws InterruptedException {
    while (links.openLinkCount() != count) {
      Thread.sleep(1);
    }
  }
}
