package org.sageladder.core.spread;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.VirtualTime;

class SpreaderTest {
  private static final ItemKey CONTRACT = new ItemKey(ItemKind.CONTRACT, "kannelkoda");

  private final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private final Map<String, Spreader> spreaders = new HashMap<>();
  private final Queue<Runnable> wire = new ArrayDeque<>();
  private final List<SpreadMessage> sent = new ArrayList<>();
  private final Set<String> downVms = new HashSet<>();
  private BiPredicate<String, SpreadMessage> isLost = (to, message) -> false;

  @Test
  void contractReachesWholeZoneWithoutTick() {
    List<String> members = startZone(27);
    spreaders.get("vm-00").publish(contract(5, "whole contract"));
    deliver();
    for (String member : members) {
      assertEquals(5, version(member), member);
    }
    assertEquals(26, countPushes());
  }

  // Guards against processes that stay behind until the next change: the relay dies after sending
  // to some neighbours only, or a push is lost with its link. Comparison with random peers repairs
  // this.
  @Test
  void lostPushIsRepairedByRandomPeers() {
    List<String> members = startZone(9);
    isLost = (to, message) -> message instanceof SpreadMessage.Push && !to.equals("vm-01");
    spreaders.get("vm-00").publish(contract(5, "whole contract"));
    deliver();
    isLost = (to, message) -> to.equals("vm-00");
    downVms.add("vm-00");
    tickUntilAllAt(5, members.subList(1, 9), 20);
  }

  // Guards against an older revision that arrives after a newer one; a process that accepted it
  // would apply limits that the operator has already replaced.
  @Test
  void lateOlderRevisionIsIgnored() {
    startZone(2);
    Spreader late = spreaders.get("vm-01");
    late.receive("vm-00", push(contract(6, "newer")));
    late.receive("vm-00", push(contract(5, "older")));
    assertEquals(6, version("vm-01"));
  }

  @Test
  void secondRevisionIsSentAsDelta() {
    startZone(2);
    String text = "limits: ".repeat(500);
    spreaders.get("vm-00").publish(contract(5, text + "100" + text));
    deliver();
    sent.clear();
    spreaders.get("vm-00").publish(contract(6, text + "120" + text));
    deliver();
    assertEquals(6, version("vm-01"));
    SpreadMessage.Push push = (SpreadMessage.Push) sent.get(0);
    assertEquals(0, push.items().size());
    assertTrue(push.deltas().get(0).delta().instructions().length < 20);
  }

  // Guards against sending the first change after a start in full over every link, a contract of
  // 300 KB for a change of one line: each relay has read the contract from the store itself, and
  // none knows which version its neighbours have.
  @Test
  void changeIsSentAsDeltaAfterBothReadContractFromStore() {
    startZone(2);
    String text = "limits: ".repeat(500);
    spreaders.get("vm-00").publish(contract(5, text + "100" + text));
    spreaders.get("vm-01").publish(contract(5, text + "100" + text));
    wire.clear();
    tickUntilAllAt(5, List.of("vm-00", "vm-01"), 1);
    for (int i = 0; i < 100; i++) {
      time.advance(Duration.ofMillis(50));
      spreaders.values().forEach(Spreader::tick);
      deliver();
    }
    sent.clear();
    spreaders.get("vm-00").publish(contract(6, text + "120" + text));
    deliver();
    assertEquals(6, version("vm-01"));
    assertEquals(0, ((SpreadMessage.Push) sent.get(0)).items().size());
  }

  // Guards against applying a delta to the wrong base: the sender assumes that the receiver has
  // revision 5, but that message was lost with its link.
  @Test
  void deltaOnMissingBaseIsAnsweredByPull() {
    startZone(2);
    String text = "limits: ".repeat(500);
    isLost = (to, message) -> message instanceof SpreadMessage.Push;
    spreaders.get("vm-00").publish(contract(5, text + "100" + text));
    deliver();
    isLost = (to, message) -> false;
    spreaders.get("vm-00").publish(contract(6, text + "120" + text));
    deliver();
    assertEquals(6, version("vm-01"));
    Item item = spreaders.get("vm-01").table().item(CONTRACT).orElseThrow();
    assertTrue(Arrays.equals((text + "120" + text).getBytes(UTF_8), item.payload()));
  }

  // A new VM requests a snapshot of a peer that holds much more than its byte budget allows per
  // second.
  @Test
  void snapshotContainsAllItemsAndReadiness() {
    startZone(1);
    Spreader peer = spreaders.get("vm-00");
    peer.setReady(true);
    for (int i = 0; i < 300; i++) {
      peer.publish(Item.of(ItemKind.SUMMARY, "zone-" + i, 1, new byte[2_000]));
    }
    peer.publish(contract(5, "whole contract"));
    add("vm-99");
    spreaders.get("vm-99").requestSnapshot("vm-00");
    deliver();
    assertEquals(5, version("vm-99"));
    assertEquals(301, spreaders.get("vm-99").table().items().size());
    assertEquals(new SpreadMessage.SnapshotEnd(true), sent.get(sent.size() - 1));
  }

  // Summaries of 94 zones change all the time. Sending each of them would use up the control
  // traffic budget, so a newer summary must replace one that is still waiting.
  @Test
  void summariesKeepToByteBudgetAndLatestIsSent() {
    startZone(2);
    Spreader relay = spreaders.get("vm-00");
    int seconds = 60;
    for (int i = 1; i <= seconds * 10; i++) {
      for (int z = 0; z < 94; z++) {
        relay.publish(Item.of(ItemKind.SUMMARY, "zone-" + z, i, new byte[70]));
      }
      time.advance(Duration.ofMillis(100));
      relay.tick();
      deliver();
    }
    long bytes = 0;
    for (SpreadMessage message : sent) {
      if (message instanceof SpreadMessage.Push push) {
        bytes += push.items().stream().mapToLong(Item::wireBytes).sum();
      }
    }
    SpreadSettings settings = SpreadSettings.standard();
    double allowed = settings.bytesPerSecond() * seconds + settings.burstBytes() + 200;
    assertTrue(bytes <= allowed, bytes + " bytes, " + allowed + " allowed");
    assertTrue(bytes > allowed / 2, "at least half of the budget is used");
    time.advance(Duration.ofSeconds(10));
    relay.tick();
    deliver();
    ItemKey last = new ItemKey(ItemKind.SUMMARY, "zone-93");
    assertEquals(600, spreaders.get("vm-01").table().version(last));
  }

  // Contracts must be in force within seconds, even while summaries have used up the budget.
  @Test
  void contractIsNotDelayedBySummaries() {
    startZone(2);
    Spreader relay = spreaders.get("vm-00");
    for (int z = 0; z < 90; z++) {
      relay.publish(Item.of(ItemKind.SUMMARY, "zone-" + z, 1, new byte[2_000]));
    }
    relay.tick();
    relay.publish(contract(5, "whole contract"));
    deliver();
    assertEquals(5, version("vm-01"));
  }

  @Test
  void expiredNoticeIsDroppedAndNotAcceptedAgain() {
    startZone(2);
    Item notice =
        new Item(new ItemKey(ItemKind.NOTICE, "quarantine/ab12"), 1, 1_005_000, new byte[4]);
    spreaders.get("vm-00").publish(notice);
    spreaders.get("vm-00").tick();
    deliver();
    assertEquals(1, spreaders.get("vm-01").table().version(notice.key()));
    time.advance(Duration.ofSeconds(6));
    spreaders.get("vm-01").tick();
    assertEquals(0, spreaders.get("vm-01").table().version(notice.key()));
    spreaders.get("vm-01").receive("vm-00", push(notice));
    assertEquals(0, spreaders.get("vm-01").table().version(notice.key()));
  }

  private List<String> startZone(int size) {
    List<String> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add(String.format("vm-%02d", i));
    }
    members.forEach(this::add);
    for (String member : members) {
      Spreader spreader = spreaders.get(member);
      spreader.setNeighbours(new HashSet<>(Overlay.zoneTree(members, "vm-00", member, 2)));
      spreader.setRepairPeers(members.stream().filter(peer -> !peer.equals(member)).toList());
    }
    deliver();
    sent.clear();
    return members;
  }

  private void add(String vm) {
    Spreader spreader =
        Spreader.of(
            SpreadSettings.standard(),
            time,
            new SplittableRandom(vm.hashCode()),
            (to, message) -> {
              wire.add(() -> arrive(vm, to, message));
              return true;
            },
            item -> {});
    spreaders.put(vm, spreader);
  }

  private void arrive(String from, String to, SpreadMessage message) {
    sent.add(message);
    if (!downVms.contains(from) && !isLost.test(to, message)) {
      spreaders.get(to).receive(from, message);
    }
  }

  private void deliver() {
    while (!wire.isEmpty()) {
      wire.remove().run();
    }
  }

  private void tickUntilAllAt(long version, List<String> members, int maxSeconds) {
    for (int i = 0; i < maxSeconds * 20; i++) {
      if (members.stream().allMatch(member -> version(member) == version)) {
        return;
      }
      time.advance(Duration.ofMillis(50));
      members.forEach(member -> spreaders.get(member).tick());
      deliver();
    }
    throw new AssertionError("not all at " + version + " after " + maxSeconds + " s");
  }

  private long version(String vm) {
    return spreaders.get(vm).table().version(CONTRACT);
  }

  private long countPushes() {
    return sent.stream().filter(message -> message instanceof SpreadMessage.Push).count();
  }

  private static Item contract(long revision, String text) {
    return new Item(CONTRACT, revision, 0, text.getBytes(UTF_8));
  }

  private static SpreadMessage.Push push(Item item) {
    return new SpreadMessage.Push(List.of(item), List.of());
  }
}
