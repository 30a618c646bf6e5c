package org.sageladder.entry.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.spread.ElectionCall;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.protocol.InnerMessage;
import org.sageladder.protocol.PeerAddress;

/** A few control machines on a virtual clock, with a store and links that can fail. */
final class MachineFakes {
  static final String CUSTOMER = "k";
  static final Duration STEP = Duration.ofMillis(25);

  final VirtualTime time = VirtualTime.startingAt(1_700_000_000_000L);
  final Map<String, NodeFake> nodes = new TreeMap<>();
  final Set<String> cutZones = new HashSet<>();
  final Set<String> targetsOutOfReach = new HashSet<>();
  final Set<String> busyTargets = new HashSet<>();
  boolean storeDown;
  private final Queue<Runnable> wire = new ArrayDeque<>();
  private final Map<String, StoredValue> values = new HashMap<>();
  private final Map<String, Long> leaseOfKey = new HashMap<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private @Nullable StoredValue contract;
  private long revision;
  private long nextLease = 1;
  private int steps;

  /** One entry VM. */
  final class NodeFake implements ControlEffects {
    final String vm;
    final String zone;
    final ControlMachine machine;
    final List<String> payloads = new ArrayList<>();
    boolean paused;
    boolean dead;
    boolean listKnown = true;
    private boolean firstRead;

    NodeFake(String vm, String zone) {
      this.vm = vm;
      this.zone = zone;
      Member self = new Member(vm, zone, time.nanos() + 1, "127.0.0.1", 80, 81, false);
      this.machine =
          new ControlMachine(
              new ControlIdentity(CUSTOMER, self),
              ControlTimes.standard(),
              time,
              new SplittableRandom(vm.hashCode()),
              this,
              EventSink.none());
    }

    long revision() {
      return machine.known().revision();
    }

    boolean relaying() {
      return machine.duty().isRelay();
    }

    @Override
    public boolean send(String to, InnerMessage message) {
      NodeFake target = nodes.get(to);
      if (target == null || target.dead || separated(this, target)) {
        return false;
      }
      wire.add(() -> target.take(vm, message));
      return true;
    }

    private void take(String from, InnerMessage message) {
      if (!dead && !paused) {
        machine.received(from, message);
      }
    }

    @Override
    public void address(PeerAddress peer) {}

    @Override
    public void call(ElectionCall call) {
      wire.add(() -> answer(this, call));
    }

    @Override
    public void probe(Holding target, Consumer<Boolean> answer) {
      NodeFake home = nodes.get(target.target().substring("target-".length()));
      boolean reached = home != null && !targetsOutOfReach.contains(home.zone);
      if (reached && !separated(this, home)) {
        wire.add(() -> answer.accept(!busyTargets.contains(target.target())));
      }
    }

    @Override
    public void relaying(boolean now) {}

    @Override
    public void revoke(long lease) {
      endLease(lease);
    }

    @Override
    public void stateChanged() {
      machine.inForce(machine.known().revision());
    }

    @Override
    public void payload(String from, String topic, byte[] content) {
      payloads.add(from + ":" + topic + ":" + content.length);
    }
  }

  NodeFake add(String vm, String zone) {
    NodeFake node = new NodeFake(vm, zone);
    nodes.put(vm, node);
    return node;
  }

  /** Stores a new revision of the contract. */
  long accept(double serviceMillis) {
    revision++;
    Contract changed = Sample.contract(serviceMillis);
    byte[] value = new StoredContract("c" + revision, "maie", changed).toBytes();
    contract = new StoredValue(StoredContract.keyOf(CUSTOMER), revision, value);
    return revision;
  }

  void run(Duration length) {
    for (long i = 0; i < length.toNanos() / STEP.toNanos(); i++) {
      step();
    }
  }

  void step() {
    time.advance(STEP);
    steps++;
    expireLeases();
    for (NodeFake node : nodes.values()) {
      if (node.dead || node.paused) {
        continue;
      }
      if (node.listKnown && steps % 40 == 1) {
        node.machine.listed(list());
      }
      serveStore(node);
      node.machine.tick();
    }
    while (!wire.isEmpty()) {
      wire.remove().run();
    }
  }

  /** The store's part that needs no call of the duty: the first read and the relay's watch. */
  private void serveStore(NodeFake node) {
    if (storeDown || cutZones.contains(node.zone)) {
      return;
    }
    if (!node.firstRead) {
      node.firstRead = true;
      node.machine.storeAnswered(Optional.ofNullable(contract));
    }
    StoredValue now = contract;
    if (now != null && node.relaying()) {
      node.machine.storedContract(now);
    }
  }

  private void answer(NodeFake node, ElectionCall call) {
    if (node.dead || node.paused || storeDown || cutZones.contains(node.zone)) {
      node.machine.duty().onFailure();
      return;
    }
    if (call instanceof ElectionCall.ReadOwner read) {
      node.machine.duty().onOwnerRead(Optional.ofNullable(values.get(read.key())));
    } else if (call instanceof ElectionCall.Grant) {
      long lease = nextLease++;
      leaseEnds.put(lease, time.nanos() + Duration.ofSeconds(3).toNanos());
      node.machine.duty().onGranted(lease);
    } else if (call instanceof ElectionCall.Claim claim) {
      node.machine.duty().onClaimed(claim(claim));
    } else if (call instanceof ElectionCall.Renew renew) {
      boolean held = leaseEnds.containsKey(renew.lease());
      if (held) {
        leaseEnds.put(renew.lease(), time.nanos() + Duration.ofSeconds(3).toNanos());
      }
      node.machine.duty().onRenewed(held);
    }
  }

  private WriteResult claim(ElectionCall.Claim claim) {
    StoredValue old = values.get(claim.key());
    if (old != null || !leaseEnds.containsKey(claim.lease())) {
      return new WriteResult.Conflict(old);
    }
    revision++;
    values.put(claim.key(), new StoredValue(claim.key(), revision, claim.value()));
    leaseOfKey.put(claim.key(), claim.lease());
    return new WriteResult.Written(revision);
  }

  private void expireLeases() {
    List<Long> over =
        leaseEnds.entrySet().stream()
            .filter(entry -> entry.getValue() - time.nanos() <= 0)
            .map(Map.Entry::getKey)
            .toList();
    over.forEach(this::endLease);
  }

  private void endLease(long lease) {
    leaseEnds.remove(lease);
    leaseOfKey.entrySet().stream()
        .filter(entry -> entry.getValue() == lease)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            key -> {
              leaseOfKey.remove(key);
              values.remove(key);
            });
  }

  private boolean separated(NodeFake from, NodeFake to) {
    boolean cut = cutZones.contains(from.zone) || cutZones.contains(to.zone);
    return cut && !from.zone.equals(to.zone);
  }

  private List<ListedVm> list() {
    List<ListedVm> lines = new ArrayList<>();
    for (NodeFake node : nodes.values()) {
      lines.add(
          new ListedVm(
              VmRole.ENTRY, node.vm, CUSTOMER, "", node.zone, "127.0.0.1", 80, 81, 0, false));
      lines.add(
          new ListedVm(
              VmRole.TARGET,
              "target-" + node.vm,
              CUSTOMER,
              "search",
              node.zone,
              "127.0.0.1",
              90,
              0,
              1,
              false));
    }
    return lines;
  }

  /** A small contract. */
  static final class Sample {
    private Sample() {}

    static Contract contract(double serviceMillis) {
      Contract.ShiftCap cap = new Contract.ShiftCap(0.25, Duration.ofSeconds(5));
      return new Contract(
          CUSTOMER,
          0,
          List.of(new Contract.Region("tartu", List.of("tartu-1", "tartu-2"))),
          new Contract.Delays(1, 20, 5),
          List.of(new Contract.ClientBlocks(0, 9, "tartu")),
          List.of(),
          List.of(
              new Contract.Service(
                  "search",
                  org.sageladder.core.contract.RequestClass.INTERACTIVE,
                  true,
                  6,
                  3,
                  330,
                  serviceMillis,
                  6,
                  Duration.ofMillis(500),
                  Duration.ofSeconds(5),
                  Duration.ofSeconds(10),
                  0.1,
                  cap,
                  cap)));
    }
  }
}
