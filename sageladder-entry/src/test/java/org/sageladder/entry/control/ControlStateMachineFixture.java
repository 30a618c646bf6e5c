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

/** Simulates control state machines on a virtual clock, with a store and links that can fail. */
final class ControlStateMachineFixture {
  static final String CUSTOMER = "k";
  static final Duration STEP = Duration.ofMillis(25);

  final VirtualTime time = VirtualTime.startingAt(1_700_000_000_000L);
  final Map<String, FakeNode> nodes = new TreeMap<>();
  final Set<String> partitionedZones = new HashSet<>();
  final Set<String> zonesWithUnreachableTargets = new HashSet<>();
  final Set<String> busyTargets = new HashSet<>();
  boolean isStoreDown;
  private final Queue<Runnable> pendingMessages = new ArrayDeque<>();
  private final Map<String, StoredValue> values = new HashMap<>();
  private final Map<String, Long> leaseByKey = new HashMap<>();
  private final Map<Long, Long> leaseExpiryNanos = new HashMap<>();
  private @Nullable StoredValue contract;
  private long revision;
  private long nextLease = 1;
  private int steps;

  /** A simulated entry VM. */
  final class FakeNode implements ControlEffects {
    final String vm;
    final String zone;
    final ControlStateMachine machine;
    final List<String> payloads = new ArrayList<>();
    boolean isPaused;
    boolean hasFailed;
    boolean isListKnown = true;
    private boolean hasReadContract;

    FakeNode(String vm, String zone) {
      this.vm = vm;
      this.zone = zone;
      Member self = new Member(vm, zone, time.nanos() + 1, "127.0.0.1", 80, 81, false);
      this.machine =
          new ControlStateMachine(
              new ControlIdentity(CUSTOMER, self),
              ControlTimings.standard(),
              time,
              new SplittableRandom(vm.hashCode()),
              this,
              EventSink.none());
    }

    long revision() {
      return machine.replicatedState().contractRevision();
    }

    boolean isRelay() {
      return machine.election().isRelay();
    }

    @Override
    public boolean send(String to, InnerMessage message) {
      FakeNode recipient = nodes.get(to);
      if (recipient == null || recipient.hasFailed || isPartitioned(this, recipient)) {
        return false;
      }
      pendingMessages.add(() -> recipient.deliver(vm, message));
      return true;
    }

    private void deliver(String from, InnerMessage message) {
      if (!hasFailed && !isPaused) {
        machine.onMessage(from, message);
      }
    }

    @Override
    public void addPeerAddress(PeerAddress peer) {}

    @Override
    public void startElectionCall(ElectionCall call) {
      pendingMessages.add(() -> answerElectionCall(this, call));
    }

    @Override
    public void probeTarget(Holding holding, Consumer<Boolean> onAnswer) {
      FakeNode holder = nodes.get(holding.target().substring("target-".length()));
      boolean isReachable = holder != null && !zonesWithUnreachableTargets.contains(holder.zone);
      if (isReachable && !isPartitioned(this, holder)) {
        pendingMessages.add(() -> onAnswer.accept(!busyTargets.contains(holding.target())));
      }
    }

    @Override
    public void setRelay(boolean isRelay) {}

    @Override
    public void revokeLease(long lease) {
      endLease(lease);
    }

    @Override
    public void onStateChanged() {
      machine.onContractInForce(machine.replicatedState().contractRevision());
    }

    @Override
    public void deliverPayload(String from, String topic, byte[] content) {
      payloads.add(from + ":" + topic + ":" + content.length);
    }
  }

  FakeNode addNode(String vm, String zone) {
    FakeNode node = new FakeNode(vm, zone);
    nodes.put(vm, node);
    return node;
  }

  /** Stores a new revision of the contract. */
  long storeContract(double serviceMillis) {
    revision++;
    Contract changed = SampleContract.contract(serviceMillis);
    byte[] value = new StoredContract("c" + revision, "maie", changed).toBytes();
    contract = new StoredValue(StoredContract.keyOf(CUSTOMER), revision, value);
    return revision;
  }

  void advance(Duration duration) {
    for (long i = 0; i < duration.toNanos() / STEP.toNanos(); i++) {
      step();
    }
  }

  void step() {
    time.advance(STEP);
    steps++;
    expireLeases();
    for (FakeNode node : nodes.values()) {
      if (node.hasFailed || node.isPaused) {
        continue;
      }
      if (node.isListKnown && steps % 40 == 1) {
        node.machine.onPlatformList(platformList());
      }
      deliverStoreData(node);
      node.machine.tick();
    }
    while (!pendingMessages.isEmpty()) {
      pendingMessages.remove().run();
    }
  }

  /** Delivers store data outside the relay election: the initial read and the relay's watch. */
  private void deliverStoreData(FakeNode node) {
    if (isStoreDown || partitionedZones.contains(node.zone)) {
      return;
    }
    if (!node.hasReadContract) {
      node.hasReadContract = true;
      node.machine.onInitialStoreRead(Optional.ofNullable(contract));
    }
    StoredValue current = contract;
    if (current != null && node.isRelay()) {
      node.machine.onStoredContract(current);
    }
  }

  private void answerElectionCall(FakeNode node, ElectionCall call) {
    if (node.hasFailed || node.isPaused || isStoreDown || partitionedZones.contains(node.zone)) {
      node.machine.election().onFailure();
      return;
    }
    if (call instanceof ElectionCall.ReadOwner read) {
      node.machine.election().onOwnerRead(Optional.ofNullable(values.get(read.key())));
    } else if (call instanceof ElectionCall.Grant) {
      long lease = nextLease++;
      leaseExpiryNanos.put(lease, time.nanos() + Duration.ofSeconds(3).toNanos());
      node.machine.election().onGranted(lease);
    } else if (call instanceof ElectionCall.Claim claim) {
      node.machine.election().onClaimed(claim(claim));
    } else if (call instanceof ElectionCall.Renew renew) {
      boolean isHeld = leaseExpiryNanos.containsKey(renew.lease());
      if (isHeld) {
        leaseExpiryNanos.put(renew.lease(), time.nanos() + Duration.ofSeconds(3).toNanos());
      }
      node.machine.election().onRenewed(isHeld);
    }
  }

  private WriteResult claim(ElectionCall.Claim claim) {
    StoredValue existing = values.get(claim.key());
    if (existing != null || !leaseExpiryNanos.containsKey(claim.lease())) {
      return new WriteResult.Conflict(existing);
    }
    revision++;
    values.put(claim.key(), new StoredValue(claim.key(), revision, claim.value()));
    leaseByKey.put(claim.key(), claim.lease());
    return new WriteResult.Written(revision);
  }

  private void expireLeases() {
    List<Long> expired =
        leaseExpiryNanos.entrySet().stream()
            .filter(entry -> entry.getValue() - time.nanos() <= 0)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::endLease);
  }

  private void endLease(long lease) {
    leaseExpiryNanos.remove(lease);
    leaseByKey.entrySet().stream()
        .filter(entry -> entry.getValue() == lease)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            key -> {
              leaseByKey.remove(key);
              values.remove(key);
            });
  }

  private boolean isPartitioned(FakeNode from, FakeNode to) {
    boolean crossesPartition =
        partitionedZones.contains(from.zone) || partitionedZones.contains(to.zone);
    return crossesPartition && !from.zone.equals(to.zone);
  }

  private List<ListedVm> platformList() {
    List<ListedVm> vms = new ArrayList<>();
    for (FakeNode node : nodes.values()) {
      vms.add(
          new ListedVm(
              VmRole.ENTRY, node.vm, CUSTOMER, "", node.zone, "127.0.0.1", 80, 81, 0, false));
      vms.add(
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
    return vms;
  }

  /** A small contract. */
  static final class SampleContract {
    private SampleContract() {}

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
