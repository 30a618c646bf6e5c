package org.sageladder.core.spread;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.time.TimeSource;

/**
 * Propagates versioned items: forwards new ones to the neighbours immediately (gossip push) and
 * repairs losses by comparing digests with random peers (anti-entropy).
 *
 * <p>Contracts and views are sent as soon as they are accepted, as a delta if the neighbour is
 * known to have the previous version. All other items wait for {@link #tick()} and for the byte
 * budget, and a newer version replaces one that is still waiting. Not thread-safe: one control
 * thread calls it.
 *
 * <pre>{@code
 * Spreader spreader = Spreader.of(settings, time, random, links::send, state::accept);
 * spreader.setNeighbours(Overlay.zoneTree(members, relay, self, 2));
 * spreader.publish(Item.of(ItemKind.SUMMARY, "tartu-a", 17, bytes));
 * }</pre>
 */
public final class Spreader {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final SpreadSettings settings;
  private final TimeSource time;
  private final RandomGenerator random;
  private final Network network;
  private final Consumer<Item> onAccepted;
  private final VersionedTable table;
  private final TokenBucket budget;
  private final Map<String, PeerState> peers = new HashMap<>();
  private final Map<ItemKey, Item> previousVersions = new HashMap<>();
  private Set<String> neighbours = Set.of();
  private Function<Item, Set<String>> summaryRoute = report -> neighbours;
  private List<String> repairPeers = List.of();
  private long nextRepairNanos;
  private long nextFlushNanos;
  private long quietUntilNanos;
  private boolean isReady;

  /** Sends one message to one entry VM; may drop it. */
  @FunctionalInterface
  public interface Network {
    /** Returns false if the message was certainly not sent. */
    boolean send(String vm, SpreadMessage message);
  }

  private static final class PeerState {
    private final SortedSet<ItemKey> pending = new TreeSet<>();
    private final Map<ItemKey, Long> knownVersions = new HashMap<>();
    private boolean owesSnapshotEnd;
  }

  private Spreader(
      SpreadSettings settings,
      TimeSource time,
      RandomGenerator random,
      Network network,
      Consumer<Item> onAccepted) {
    this.settings = settings;
    this.time = time;
    this.random = random;
    this.network = network;
    this.onAccepted = onAccepted;
    this.table = VersionedTable.withCapacity(settings.maxItems());
    this.budget = TokenBucket.of(time, settings.bytesPerSecond(), settings.burstBytes());
    this.nextRepairNanos = time.nanos();
    this.nextFlushNanos = time.nanos();
    this.quietUntilNanos = time.nanos();
  }

  /**
   * Returns a spreader with an empty table; {@code onAccepted} is called with each item that enters
   * the table.
   */
  public static Spreader of(
      SpreadSettings settings,
      TimeSource time,
      RandomGenerator random,
      Network network,
      Consumer<Item> onAccepted) {
    return new Spreader(settings, time, random, network, onAccepted);
  }

  /**
   * Sets the neighbours to which new items are forwarded. A new neighbour is offered a digest, so
   * that it receives what it lacks.
   */
  public void setNeighbours(Set<String> vms) {
    for (String vm : vms) {
      if (!neighbours.contains(vm)) {
        network.send(vm, new SpreadMessage.DigestOffer(table.digest()));
      }
    }
    neighbours = Set.copyOf(vms);
    peers.keySet().removeIf(vm -> !neighbours.contains(vm) && peers.get(vm).pending.isEmpty());
  }

  /**
   * Sets the peers to which a summary is forwarded; all other items go to all neighbours.
   *
   * <p>Summaries account for most of the bytes if there are many zones. Sent over every link of the
   * mesh, each summary passes a relay about eight times; along a tree from its origin, three times.
   */
  public void setSummaryRoute(Function<Item, Set<String>> route) {
    summaryRoute = route;
  }

  /** Sets the peers among which one is chosen at random for each digest comparison. */
  public void setRepairPeers(List<String> vms) {
    repairPeers = List.copyOf(vms);
  }

  /**
   * Sets whether this process has completed its own initial snapshot, which is reported at the end
   * of each snapshot sent to a peer.
   */
  public void setReady(boolean nowReady) {
    isReady = nowReady;
  }

  /** The table of items held here. */
  public VersionedTable table() {
    return table;
  }

  /**
   * Publishes an item of this process; returns false if the same or a higher version is held, or
   * the item cannot be kept.
   */
  public boolean publish(Item item) {
    return merge(item, null);
  }

  /**
   * Discards the versions that {@code vm} is believed to have, since messages to it may have been
   * lost.
   */
  public void onLinkLost(String vm) {
    PeerState peer = peers.get(vm);
    if (peer != null) {
      peer.knownVersions.clear();
    }
  }

  /** A connection to {@code vm} was opened: offers a digest if it is a neighbour. */
  public void onLinkOpened(String vm) {
    if (neighbours.contains(vm)) {
      network.send(vm, new SpreadMessage.DigestOffer(table.digest()));
    }
  }

  /** Requests all items of {@code vm}; returns false if the request was certainly not sent. */
  public boolean requestSnapshot(String vm) {
    return network.send(vm, new SpreadMessage.Versions(table.repairedVersionStamps(), true));
  }

  /** Handles a message of {@code from}. */
  public void receive(String from, SpreadMessage message) {
    if (message instanceof SpreadMessage.Push push) {
      receivePush(from, push);
    } else if (message instanceof SpreadMessage.DigestOffer offer) {
      receiveDigest(from, offer);
    } else if (message instanceof SpreadMessage.Versions versions) {
      receiveVersions(from, versions);
    } else if (message instanceof SpreadMessage.Pull pull) {
      receivePull(from, pull);
    }
  }

  /**
   * Sends waiting items as far as the byte budget allows, and compares digests with a random peer
   * when due.
   */
  public void tick() {
    table.dropExpired(time.wallMillis());
    if (time.nanos() - nextFlushNanos >= 0) {
      nextFlushNanos = time.nanos() + settings.batchDelay().toNanos();
      for (String vm : new ArrayList<>(peers.keySet())) {
        flush(vm, peers.get(vm));
      }
    }
    if (time.nanos() - nextRepairNanos >= 0) {
      nextRepairNanos =
          time.nanos() + (long) (settings.repairInterval().toNanos() * (0.5 + random.nextDouble()));
      if (!repairPeers.isEmpty() && isQuiet()) {
        String vm = repairPeers.get(random.nextInt(repairPeers.size()));
        network.send(vm, new SpreadMessage.DigestOffer(table.digest()));
      }
    }
  }

  /** Number of bytes that may be sent now; negative until an overdraft is repaid. */
  public double availableBudgetBytes() {
    return budget.available();
  }

  private boolean merge(Item item, @Nullable String from) {
    if (item.expiresAtMillis() > 0 && item.expiresAtMillis() <= time.wallMillis()) {
      return false;
    }
    Optional<Item> heldItem = table.item(item.key());
    if (!table.merge(item)) {
      return false;
    }
    heldItem.ifPresent(older -> previousVersions.put(item.key(), older));
    if (item.key().kind().isRepaired()) {
      quietUntilNanos = time.nanos() + settings.quietPeriod().toNanos();
    }
    onAccepted.accept(item);
    boolean isSummary = item.key().kind() == ItemKind.SUMMARY;
    for (String vm : isSummary ? summaryRoute.apply(item) : neighbours) {
      if (!vm.equals(from)) {
        forward(vm, item);
      }
    }
    return true;
  }

  private void forward(String vm, Item item) {
    PeerState peer = peer(vm);
    if (peer.knownVersions.getOrDefault(item.key(), 0L) >= item.version()) {
      return;
    }
    peer.pending.add(item.key());
    if (isUrgent(item.key().kind())) {
      flush(vm, peer);
    }
  }

  private void receivePush(String from, SpreadMessage.Push push) {
    PeerState peer = peer(from);
    for (Item item : push.items()) {
      recordPeerVersion(peer, item.key(), item.version());
      merge(item, from);
    }
    List<ItemKey> missing = new ArrayList<>();
    for (SpreadMessage.DeltaItem delta : push.deltas()) {
      recordPeerVersion(peer, delta.key(), delta.version());
      if (table.version(delta.key()) >= delta.version()) {
        continue;
      }
      Optional<Item> rebuilt = applyDelta(delta);
      if (rebuilt.isEmpty()) {
        missing.add(delta.key());
        continue;
      }
      merge(rebuilt.get(), from);
    }
    if (!missing.isEmpty()) {
      network.send(from, new SpreadMessage.Pull(missing));
    }
  }

  private Optional<Item> applyDelta(SpreadMessage.DeltaItem delta) {
    Optional<Item> base = table.item(delta.key());
    if (base.isEmpty() || base.get().version() != delta.baseVersion()) {
      return Optional.empty();
    }
    Optional<byte[]> payload = delta.delta().applyTo(base.get().payload());
    if (payload.isEmpty() || HASHER.hashBytesToLong(payload.get()) != delta.payloadHash()) {
      return Optional.empty();
    }
    return Optional.of(new Item(delta.key(), delta.version(), 0, payload.get()));
  }

  private void receiveDigest(String from, SpreadMessage.DigestOffer offer) {
    if (offer.digest() == table.digest()) {
      recordInSync(from);
    } else if (isQuiet()) {
      sendVersions(from);
    }
  }

  /**
   * Records that a neighbour has the same repaired items as this process.
   *
   * <p>After a start, neighbours that each read the contract from the platform's store have not
   * exchanged versions. Without this record the first change would be sent to them in full instead
   * of as a delta.
   */
  private void recordInSync(String vm) {
    if (!neighbours.contains(vm)) {
      return;
    }
    PeerState peer = peer(vm);
    for (Item item : table.items()) {
      if (item.key().kind().isRepaired()) {
        recordPeerVersion(peer, item.key(), item.version());
      }
    }
  }

  private void receiveVersions(String from, SpreadMessage.Versions theirs) {
    PeerState peer = peer(from);
    List<ItemKey> missing = new ArrayList<>();
    for (Map.Entry<ItemKey, SpreadMessage.VersionStamp> entry : theirs.versions().entrySet()) {
      recordPeerVersion(peer, entry.getKey(), entry.getValue().version());
      if (entry.getValue().version() > table.version(entry.getKey())) {
        missing.add(entry.getKey());
      }
    }
    if (!missing.isEmpty()) {
      missing.sort(null);
      network.send(from, new SpreadMessage.Pull(missing));
    }
    for (Item item : table.items()) {
      boolean isRequested = item.key().kind().isRepaired() || theirs.isSnapshotRequest();
      if (isRequested && mayReplace(item, theirs.versions().get(item.key()))) {
        peer.pending.add(item.key());
      }
    }
    peer.owesSnapshotEnd |= theirs.isSnapshotRequest();
    flush(from, peer);
  }

  private static boolean mayReplace(Item item, SpreadMessage.@Nullable VersionStamp theirs) {
    if (theirs == null || item.version() != theirs.version()) {
      return theirs == null || item.version() > theirs.version();
    }
    return VersionedTable.payloadHash(item) != theirs.payloadHash();
  }

  private void receivePull(String from, SpreadMessage.Pull pull) {
    PeerState peer = peer(from);
    for (ItemKey key : new LinkedHashSet<>(pull.keys())) {
      if (table.version(key) > 0) {
        peer.knownVersions.remove(key);
        peer.pending.add(key);
      }
    }
    flush(from, peer);
  }

  /**
   * Whether no repaired item has changed recently.
   *
   * <p>Prevents a contract from being fetched twice: while a change is being propagated, nearly
   * every comparison of digests differs, and a peer would pull the complete item although it is
   * about to arrive as a small delta. A real loss is still detected by the next comparison.
   */
  private boolean isQuiet() {
    return time.nanos() - quietUntilNanos >= 0;
  }

  private void sendVersions(String vm) {
    network.send(vm, new SpreadMessage.Versions(table.repairedVersionStamps(), false));
  }

  private void flush(String vm, PeerState peer) {
    while (!peer.pending.isEmpty()) {
      List<Item> items = new ArrayList<>();
      List<SpreadMessage.DeltaItem> deltas = new ArrayList<>();
      int bytes = fillPush(peer, items, deltas);
      if (bytes == 0) {
        return;
      }
      if (!network.send(vm, new SpreadMessage.Push(items, deltas))) {
        peer.knownVersions.clear();
        peer.pending.clear();
        return;
      }
    }
    if (peer.owesSnapshotEnd) {
      peer.owesSnapshotEnd = false;
      network.send(vm, new SpreadMessage.SnapshotEnd(isReady));
    }
  }

  private int fillPush(PeerState peer, List<Item> items, List<SpreadMessage.DeltaItem> deltas) {
    int bytes = 0;
    while (!peer.pending.isEmpty()) {
      ItemKey key = peer.pending.first();
      Optional<Item> item = table.item(key);
      if (item.isEmpty()) {
        peer.pending.remove(key);
        continue;
      }
      Optional<SpreadMessage.DeltaItem> delta = deltaFor(peer, item.get());
      int size = delta.isPresent() ? deltaWireBytes(delta.get()) : item.get().wireBytes();
      if (bytes > 0 && bytes + size > settings.maxPushBytes()) {
        break;
      }
      if (isUrgent(key.kind()) || peer.owesSnapshotEnd) {
        budget.take(size);
      } else if (!budget.tryTake(size)) {
        break;
      }
      peer.pending.remove(key);
      recordPeerVersion(peer, key, item.get().version());
      delta.ifPresentOrElse(deltas::add, () -> items.add(item.get()));
      bytes += size;
    }
    return bytes;
  }

  private Optional<SpreadMessage.DeltaItem> deltaFor(PeerState peer, Item item) {
    Item older = previousVersions.get(item.key());
    if (older == null
        || !isUrgent(item.key().kind())
        || peer.knownVersions.getOrDefault(item.key(), 0L) != older.version()) {
      return Optional.empty();
    }
    PayloadDelta payloadDelta = PayloadDelta.between(older.payload(), item.payload());
    if (payloadDelta.instructions().length > item.payload().length / 2) {
      return Optional.empty();
    }
    return Optional.of(
        new SpreadMessage.DeltaItem(
            item.key(),
            item.version(),
            older.version(),
            HASHER.hashBytesToLong(item.payload()),
            payloadDelta));
  }

  private static int deltaWireBytes(SpreadMessage.DeltaItem delta) {
    return 48 + delta.key().name().length() + delta.delta().instructions().length;
  }

  private static boolean isUrgent(ItemKind kind) {
    return kind == ItemKind.CONTRACT || kind == ItemKind.VIEW;
  }

  private PeerState peer(String vm) {
    return peers.computeIfAbsent(vm, name -> new PeerState());
  }

  private static void recordPeerVersion(PeerState peer, ItemKey key, long version) {
    peer.knownVersions.merge(key, version, Math::max);
  }
}
