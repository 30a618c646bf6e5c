package org.sageladder.core.observation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.LoadReport;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;

/** Tests what two entry VMs of a zone make of each other's digests. */
class ZoneObservationsTest {
  private static final long OBJECT = 77;
  private static final LoadReport IDLE = new LoadReport(0, 0, 8);
  private static final LoadReport FULL = new LoadReport(8, 16, 8);
  private static final long STARTED_WALL_MILLIS = 1_764_000_000_000L;

  /** One VM with clocks of its own, whose digests are kept instead of sent. */
  private static final class Vm implements ZoneObservations.Peers {
    final TargetTable targets = TargetTable.create();
    final List<ObservationDigest> sent = new ArrayList<>();
    List<String> receivers = List.of();
    final List<String> silenceEvents = new ArrayList<>();
    final ZoneObservations observations;
    long nowMillis;
    long wallMillis;
    int scheduledTicks;

    Vm(String name, long nowMillis, long wallMillis, String... zoneVms) {
      this.nowMillis = nowMillis;
      this.wallMillis = wallMillis;
      observations = ZoneObservations.of(name, targets, nowMillis, wallMillis);
      observations.connectPeers(this);
      observations.updateZoneVms(List.of(zoneVms));
      targets.put(facts(1), nowMillis);
    }

    void advance(long millis) {
      nowMillis += millis;
      wallMillis += millis;
    }

    TargetState target() {
      return targets.find("t-1").orElseThrow();
    }

    double load() {
      return target().load(nowMillis);
    }

    void observe(long object, LoadReport load) {
      observations.record(target(), object, load, nowMillis, wallMillis);
    }

    /** Sends the digest that is due after the interval, and returns the last one sent. */
    ObservationDigest tick() {
      advance(ZoneObservations.INTERVAL_MILLIS);
      observations.tick(nowMillis, wallMillis);
      return sent.get(sent.size() - 1);
    }

    int receive(ObservationDigest digest) {
      return observations.onDigest("a", digest, nowMillis, wallMillis).appliedCount();
    }

    @Override
    public void send(Collection<String> vms, ObservationDigest digest) {
      sent.add(digest);
      receivers = List.copyOf(vms);
    }

    @Override
    public void scheduleTick() {
      scheduledTicks++;
    }

    @Override
    public void onSilent(List<String> vms) {
      silenceEvents.add("silent " + vms);
    }

    @Override
    public void onHeardAgain(List<String> vms) {
      silenceEvents.add("heard " + vms);
    }
  }

  private final Vm sender = new Vm("a", 1_000, STARTED_WALL_MILLIS, "a", "b");
  private final Vm receiver = new Vm("b", 9_000_000, 0, "a", "b");

  private static TargetFacts facts(long startedAtMillis) {
    TargetIncarnation incarnation = new TargetIncarnation("t-1", startedAtMillis);
    return new TargetFacts(
        incarnation, 1, "search", "10.0.0.1", 80, "north-a", "north", 8, false, 0);
  }

  private ObservationDigest digest(long object, LoadReport load) {
    sender.observe(object, load);
    return sender.tick();
  }

  /** The clocks of the two VMs differ by hours; only the age of the report counts. */
  @Test
  void receiverKnowsWhatItsPeerObserved() {
    ObservationDigest digest = digest(OBJECT, FULL);
    assertEquals(ZoneObservations.INTERVAL_MILLIS, digest.entries().get(0).ageMillis());
    assertEquals(1, receiver.receive(digest));
    assertTrue(receiver.target().hasCached(OBJECT));
    assertTrue(receiver.load() > 8, "load " + receiver.load());
  }

  /** Guards against a duplicated datagram that counts twice in the mean load. */
  @Test
  void duplicateCountsOnce() {
    ObservationDigest digest = digest(OBJECT, FULL);
    receiver.receive(digest);
    double load = receiver.load();
    assertEquals(0, receiver.receive(digest));
    assertEquals(load, receiver.load());
  }

  /** Guards against an overtaken datagram whose older report replaces a newer one. */
  @Test
  void overtakenDigestDoesNotReplaceNewerReport() {
    ObservationDigest older = digest(OBJECT, FULL);
    ObservationDigest newer = digest(0, IDLE);
    receiver.receive(newer);
    double load = receiver.load();
    // It arrives as late as it was overtaken, so that its age no longer says that it is older.
    receiver.advance(ZoneObservations.INTERVAL_MILLIS);
    receiver.target().recordReport(IDLE, receiver.nowMillis);
    assertEquals(1, receiver.receive(older));
    assertTrue(receiver.load() <= load, "load " + receiver.load());
    assertTrue(receiver.target().hasCached(OBJECT));
  }

  /** Guards against reports from before a freeze that the VM sends afterwards as recent. */
  @Test
  void resumedVmDropsWhatItObservedBefore() {
    sender.observe(OBJECT, FULL);
    sender.advance(4_000);
    sender.observe(OBJECT, FULL);
    sender.observations.tick(sender.nowMillis, sender.wallMillis);
    assertTrue(sender.sent.isEmpty());
  }

  /** The monotonic clock of a suspended machine stands still. */
  @Test
  void machineThatWasSuspendedDropsWhatItObservedBefore() {
    sender.observe(OBJECT, FULL);
    sender.wallMillis += 4_000;
    sender.advance(ZoneObservations.INTERVAL_MILLIS);
    sender.observations.tick(sender.nowMillis, sender.wallMillis);
    assertTrue(sender.sent.isEmpty());
    assertEquals(1, digestAfter(ZoneObservations.INTERVAL_MILLIS).entries().size());
  }

  private ObservationDigest digestAfter(long millis) {
    sender.advance(millis);
    return digest(OBJECT, FULL);
  }

  /** Guards against digests that waited in a frozen receiver's socket and count as recent. */
  @Test
  void resumedVmIgnoresDigestsThatWaitedMeanwhile() {
    receiver.receive(digest(0, IDLE));
    ObservationDigest late = digest(OBJECT, FULL);
    receiver.advance(4_000);
    assertEquals(0, receiver.receive(late));
    receiver.advance(ZoneObservations.INTERVAL_MILLIS);
    assertEquals(1, receiver.receive(digest(OBJECT, FULL)));
  }

  /**
   * Guards against a restarted peer that is ignored until it reaches its former sequence number.
   */
  @Test
  void restartedPeerIsHeardFromItsFirstDigest() {
    ObservationDigest former = digest(0, IDLE);
    digest(0, IDLE);
    ObservationDigest lastOfFormer = digest(0, IDLE);
    receiver.receive(former);
    receiver.receive(lastOfFormer);
    Vm restarted = new Vm("a", 0, STARTED_WALL_MILLIS - 5_000, "a", "b");
    restarted.observe(OBJECT, FULL);
    ObservationDigest first = restarted.tick();
    assertEquals(1, receiver.receive(first));
    assertEquals(0, receiver.receive(lastOfFormer));
    assertEquals(0, receiver.receive(first));
  }

  /** Guards against objects of a target's former incarnation that its new one does not have. */
  @Test
  void observationOfFormerIncarnationCountsForNothing() {
    ObservationDigest digest = digest(OBJECT, FULL);
    receiver.targets.put(facts(2), receiver.nowMillis);
    assertEquals(0, receiver.receive(digest));
    assertFalse(receiver.target().hasCached(OBJECT));
  }

  /** Guards against a target that loses its cache while its peers' observations are under way. */
  @Test
  void objectIsNotRecordedForColdTarget() {
    ObservationDigest digest = digest(OBJECT, FULL);
    receiver.target().markColdUntil(receiver.nowMillis + 3_000);
    receiver.receive(digest);
    assertFalse(receiver.target().hasCached(OBJECT));
  }

  /** Guards against a wall clock that jumps back and makes all later digests seem old. */
  @Test
  void wallClockThatJumpsBackChangesNothing() {
    sender.wallMillis -= 60_000;
    receiver.wallMillis -= 60_000;
    assertEquals(1, receiver.receive(digest(OBJECT, FULL)));
  }

  @Test
  void digestOfVmOutsideTheZoneIsIgnored() {
    receiver.observations.updateZoneVms(List.of("b", "c"));
    assertEquals(0, receiver.receive(digest(OBJECT, FULL)));
  }

  /** A VM without peers has no timer, sends nothing and keeps its own estimates. */
  @Test
  void vmAloneInItsZoneDecidesAsBefore() {
    sender.observations.updateZoneVms(List.of("a"));
    sender.observe(OBJECT, FULL);
    assertEquals(0, sender.scheduledTicks);
    assertTrue(sender.sent.isEmpty());
    assertEquals(0, sender.load());
  }

  /** Guards against traffic that grows with the square of the number of VMs in a zone. */
  @Test
  void digestIsSentToABoundedAndStablePartOfALargeZone() {
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      vms.add("v-" + i);
    }
    vms.add("a");
    List<String> receivers = receiversAmong(vms);
    assertEquals(20, receivers.size());
    vms.remove(receivers.get(3));
    List<String> kept = new ArrayList<>(receiversAmong(vms));
    kept.retainAll(receivers);
    assertEquals(19, kept.size());
  }

  private List<String> receiversAmong(List<String> vms) {
    sender.observations.updateZoneVms(vms);
    digest(0, IDLE);
    return sender.receivers;
  }

  @Test
  void digestContainsTheNewestObservations() {
    for (int object = 1; object <= 2 * ZoneObservations.MAX_ENTRIES; object++) {
      sender.observe(object, IDLE);
    }
    List<ObservationDigest.Entry> entries = sender.tick().entries();
    assertEquals(ZoneObservations.MAX_ENTRIES, entries.size());
    assertEquals(2 * ZoneObservations.MAX_ENTRIES, entries.get(0).object());
  }

  @Test
  void silentPeerIsReportedOnceAndAgainWhenHeard() {
    receiver.receive(digest(0, IDLE));
    for (int i = 0; i < 20; i++) {
      receiver.observe(OBJECT, IDLE);
      receiver.tick();
    }
    receiver.receive(digest(0, IDLE));
    receiver.tick();
    assertEquals(List.of("silent [a]", "heard [a]"), receiver.silenceEvents);
  }

  /** Guards against log lines that call all peers silent after a time without requests. */
  @Test
  void peersAreNotSilentAfterAPauseWithoutRequests() {
    receiver.receive(digest(0, IDLE));
    receiver.observe(OBJECT, IDLE);
    receiver.tick();
    receiver.advance(60_000);
    receiver.observe(OBJECT, IDLE);
    receiver.tick();
    assertEquals(List.of(), receiver.silenceEvents);
  }
}
