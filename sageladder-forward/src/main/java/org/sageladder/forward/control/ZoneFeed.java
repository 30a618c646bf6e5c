package org.sageladder.forward.control;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.forward.Loop;

/**
 * Follows the store through one reader in each zone, so that calls grow with zones, not with VMs.
 *
 * <p>All VMs of a zone agree on the reader by rendezvous hashing over the list of live VMs. The
 * others ask it a few times a second. Where it does not answer, has had no contact with the store
 * for too long, or is no reader itself, a VM goes to the store directly for a while: it is then as
 * far behind as the reader's silence took to notice, and never farther back than it was.
 */
public final class ZoneFeed {
  /**
   * A waiting watch costs one call; this long a wait makes them few, and a watch whose answer is
   * lost unseen does not leave the VM blind for longer.
   */
  private static final long WAIT_MILLIS = 12_000;

  /**
   * Pause before the next watch after changes, so that changes in quick succession cost one call.
   * Bounds of 2.5 s on changes leave room for it.
   */
  private static final long GATHER_MILLIS = 600;

  private static final long POLL_MILLIS = 400;

  /** In a zone an answer takes a millisecond; a VM that is busy takes some hundred. */
  private static final long FETCH_MILLIS = 800;

  /** How long the store is followed directly after the reader failed. */
  private static final long DIRECT_MILLIS = 5_000;

  /** With fewer VMs a reader saves too few calls for the delay that it adds. */
  private static final int FEWEST = 3;

  /** What a reader's contact with the store may be late by. */
  private static final long LATE_MILLIS = 500;

  private final Loop loop;
  private final PlatformStore store;
  private final PeerChanges peers;
  private final EntryVm self;
  private final EventSink log;
  private final long mostAgeMillis;
  private @Nullable EntryVm reader;
  private long directUntil = Long.MIN_VALUE;
  private boolean relayed;
  private boolean troubled;
  private long contactAt;

  private ZoneFeed(
      Loop loop,
      PlatformStore store,
      PeerChanges peers,
      EntryVm self,
      long contactEachMillis,
      EventSink log) {
    this.loop = loop;
    this.store = store;
    this.peers = peers;
    this.self = self;
    this.log = log;
    this.mostAgeMillis = contactEachMillis + LATE_MILLIS;
  }

  /**
   * A feed that asks the store itself until {@link #live} names other VMs.
   *
   * @param contactEachMillis a VM has contact with the store this often while all is well
   */
  public static ZoneFeed of(
      Loop loop,
      PlatformStore store,
      PeerChanges peers,
      EntryVm self,
      long contactEachMillis,
      EventSink log) {
    return new ZoneFeed(loop, store, peers, self, contactEachMillis, log);
  }

  /** A feed that only asks the store. */
  static ZoneFeed direct(Loop loop, PlatformStore store) {
    return new ZoneFeed(
        loop,
        store,
        (from, revision, millis, then) -> then.accept(new StoreAnswer.Failed<>("no peers")),
        new EntryVm("", "", "", "", ""),
        0,
        EventSink.none());
  }

  /** Follows the list of live VMs. */
  public void live(Collection<EntryVm> vms) {
    List<EntryVm> ofZone =
        vms.stream().filter(vm -> vm.zone().equals(self.zone()) && !vm.peer().isEmpty()).toList();
    EntryVm before = reader;
    reader = ofZone.size() < FEWEST ? null : choose(ofZone);
    EntryVm now = reader;
    if (now != null && !now.equals(before)) {
      log.record(EventKind.VIEW_CHANGED, "", "", now.name(), 0, "reads the store for the zone");
    }
  }

  private @Nullable EntryVm choose(List<EntryVm> ofZone) {
    List<String> names = ofZone.stream().map(EntryVm::name).toList();
    String chosen = Rendezvous.choose("reader of " + self.zone(), names).orElse("");
    for (EntryVm vm : ofZone) {
      if (vm.name().equals(chosen)) {
        return vm;
      }
    }
    return null;
  }

  /** True where this VM asks the store itself, so that others may ask it. */
  public boolean isReader() {
    return !relayed;
  }

  /** Time since the store last answered this VM. */
  public long contactAgeMillis() {
    return loop.now() - contactAt;
  }

  /** Records whether the store answered another call. */
  void recordContact(boolean answered) {
    if (answered) {
      contactAt = loop.now();
    }
  }

  /**
   * Asks for changes after {@code revision}; answers with none where there were none for a while.
   */
  void next(long revision, Consumer<StoreAnswer<StorePage>> then) {
    EntryVm from = reader;
    if (from == null || from.name().equals(self.name()) || loop.now() < directUntil) {
      askStore(revision, then);
      return;
    }
    relayed = true;
    peers.fetch(from, revision, FETCH_MILLIS, answer -> fetched(from, revision, answer, then));
  }

  private void fetched(
      EntryVm from,
      long revision,
      StoreAnswer<PeerChanges.Changes> answer,
      Consumer<StoreAnswer<StorePage>> then) {
    if (answer instanceof StoreAnswer.Done<PeerChanges.Changes> done
        && done.value().contactAgeMillis() <= mostAgeMillis) {
      troubled = done.value().troubled();
      then.accept(new StoreAnswer.Done<>(done.value().page()));
      return;
    }
    directUntil = loop.now() + DIRECT_MILLIS;
    String cause = answer instanceof StoreAnswer.Done<?> ? "its contact is too old" : "" + answer;
    log.record(EventKind.MEMBER_SILENT, "", "", from.name(), 0, "asking the store: " + cause);
    askStore(revision, then);
  }

  private void askStore(long revision, Consumer<StoreAnswer<StorePage>> then) {
    relayed = false;
    troubled = false;
    store.watch(
        revision,
        WAIT_MILLIS,
        answer -> {
          recordContact(answer instanceof StoreAnswer.Done<StorePage>);
          then.accept(answer);
        });
  }

  /**
   * Pause until the next question.
   *
   * @param anyChange true where the last answer had changes
   */
  long pauseMillis(boolean anyChange) {
    if (relayed) {
      return POLL_MILLIS;
    }
    return anyChange ? GATHER_MILLIS : 0;
  }

  /** True where the VM that answered last had trouble with the store lately. */
  boolean hadTrouble() {
    return troubled;
  }
}
