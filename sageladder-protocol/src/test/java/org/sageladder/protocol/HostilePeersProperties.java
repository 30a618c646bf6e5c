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
 * Strangers and broken peers at the inner port. Each bad connection must end, be counted once under
 * its reason, and disturb neither the link of a good peer nor the next connection.
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

  // A port scanner, or a process that takes the inner port for another one, sends any first frame.
  // The handshake's rules, asked directly, say under which reason it must be dropped.
  @Property(tries = 100, seed = "20261202")
  void arbitraryFirstFrameIsDroppedWithExpectedReason(@ForAll @Size(max = 200) byte[] first)
      throws Exception {
    Reason reason = parseFailure(() -> RawLink.handshake("vm-2").accept(first)).orElseThrow();
    assertDropped(reason, link -> link.writeFrame(first));
  }

  // The same with a first frame that was a good one before one of its bytes was damaged. Damage to
  // the name or the nonce alone leaves a hello that is answered; its proof then does not fit.
  @Property(tries = 100, seed = "20261202")
  void corruptedFirstFrameIsDroppedWithExpectedReason(@ForAll int at, @ForAll byte with)
      throws Exception {
    byte[] damaged = RawLink.hello("vm-9").toByteArray();
    damaged[Math.floorMod(at, damaged.length)] = with;
    Optional<Reason> refusal = parseFailure(() -> RawLink.handshake("vm-2").accept(damaged));
    assertDropped(
        refusal.orElse(Reason.NOT_AUTHENTIC),
        link -> {
          link.writeFrame(damaged);
          if (refusal.isEmpty()) {
            link.readFrame();
            link.writeFrame(new byte[FrameMac.TAG_BYTES + 1]);
          }
        });
  }

  // A length field decides how much is kept in memory before a frame is whole. Before the proof of
  // the key even a kilobyte more than a hello needs is refused, at once, without waiting for it.
  @Property(tries = 50, seed = "20261202")
  void oversizeFirstFrameIsDroppedBeforeItsBody(
      @ForAll @IntRange(min = LinkHandler.MAX_HANDSHAKE_FRAME_BYTES + 1) int length)
      throws Exception {
    assertDropped(Reason.TOO_LARGE, link -> link.writeFrame(length, new byte[0]));
  }

  // Bytes of some other protocol often set the length's first bit; it is no sign.
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

  // Bytes change on the way, or somebody writes into the connection of a peer that has the key.
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

  // A peer of another version, or a broken one, seals what is no message. What the decoder takes is
  // passed on, what it refuses ends the connection under the decoder's reason.
  @Property(tries = 100, seed = "20261202")
  void authenticatedBodyIsDeliveredOrDroppedWithDecoderReason(
      @ForAll @Size(max = 60) byte[] body, @ForAll int cut, @ForAll boolean random)
      throws Exception {
    byte[] sent =
        random ? body : Arrays.copyOf(ENCODED_OFFER, Math.floorMod(cut, ENCODED_OFFER.length));
    Optional<Reason> refusal = parseFailure(() -> MessageCodec.decode(sent));
    Scenario steps =
        link -> {
          Handshake.Session session = link.authenticate("vm-9");
          link.writeFrame(RawLink.seal(session, RawLink.proof()));
          link.writeFrame(RawLink.seal(session, sent));
        };
    if (refusal.isPresent()) {
      assertDropped(refusal.get(), steps);
      return;
    }
    try (RawLink link = RawLink.connect(links.port())) {
      steps.run(link);
      assertEquals("vm-9", inbox.nextSender());
    }
    awaitOpenLinks(1);
  }

  // A peer dies in the middle of a frame. That is no offence: nothing is counted, nothing is kept.
  @Property(tries = 50, seed = "20261202")
  void truncatedFrameIsNotCountedAsDrop(@ForAll @IntRange(min = 1, max = 200) int missing)
      throws Exception {
    long before = totalDropCount();
    try (RawLink link = RawLink.connect(links.port())) {
      byte[] hello = RawLink.hello("vm-9").toByteArray();
      link.writeFrame(hello.length + missing, hello);
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

  private void assertDropped(Reason reason, Scenario steps) throws Exception {
    long before = links.counters().dropCount(reason);
    long all = totalDropCount();
    try (RawLink link = RawLink.connect(links.port())) {
      steps.run(link);
      link.awaitClose();
    }
    assertEquals(before + 1, links.counters().dropCount(reason), reason.toString());
    assertEquals(all + 1, totalDropCount(), "counted once only");
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
