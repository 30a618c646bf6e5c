package org.sageladder.forward.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.forward.Forwarder;
import org.sageladder.forward.Loop;

/**
 * Applies the state of the store to this entry VM: rules, targets, evacuated zones and other VMs.
 *
 * <p>While the store is down, leases of targets lapse although the targets are up. Their entries
 * are written again within about two seconds after the store recovers. Removals seen around an
 * outage are therefore delayed by a grace period and cancelled if the entry comes back. Other
 * removals are applied at once.
 */
public final class EntryControl implements StoreFollower.Listener {
  /**
   * Grace period for entries whose lease may have lapsed. They are written again about two seconds
   * after the store recovers; a removal is seen some hundred milliseconds after that. The period
   * must stay below the shortest bound on draining targets (2,500 ms) minus the delay of the
   * removal (600 ms plus network) and the time of a request on its way to the target.
   */
  private static final long LAPSE_GRACE_MILLIS = 1_200;

  /** If store calls failed within this time, a removal may be a lapsed lease. */
  private static final long RECENT_FAILURE_MILLIS = 3_000;

  /**
   * If more than this fraction of the targets is removed in one response, the removal is treated as
   * a lapse even without failed calls: operators evacuate one zone of six at once, never half of
   * all targets.
   */
  private static final double MASS_REMOVAL_FRACTION = 0.5;

  /**
   * Cold start time of a zone taken back if no service has a longer one; the value operators use
   * today.
   */
  private static final long DEFAULT_COLD_MILLIS = 3_000;

  private final Loop loop;
  private final Forwarder forwarder;
  private final EntryDirectory entryDirectory;
  private final EventSink log;
  private final PlatformStore store;
  private final EntryVm self;
  private final long leaseMillis;
  private final ZoneChangeFeed changeFeed;
  private final Set<String> pendingMemberRemovals = new HashSet<>();
  private final MalformedItemLog malformedItems;
  private Consumer<Collection<EntryVm>> liveVmListener = vms -> {};
  private boolean isPublishScheduled;
  private boolean isInitialReadComplete;
  private boolean isStopping;
  private @Nullable StoreFollower follower;
  private @Nullable EntryRegistration registration;

  private EntryControl(
      Loop loop,
      PlatformStore store,
      Forwarder forwarder,
      EntryDirectory entryDirectory,
      EntryVm self,
      long leaseMillis,
      ZoneChangeFeed changeFeed,
      EventSink log) {
    this.loop = loop;
    this.store = store;
    this.forwarder = forwarder;
    this.entryDirectory = entryDirectory;
    this.self = self;
    this.leaseMillis = leaseMillis;
    this.changeFeed = changeFeed;
    this.log = log;
    this.malformedItems = new MalformedItemLog(log, forwarder.metrics());
  }

  /**
   * Starts to follow {@code store}, and registers {@code self} there once rules are in force.
   *
   * @param peers fetches the store's changes from other VMs
   * @param leaseMillis how long the registration outlives this VM
   */
  public static EntryControl start(
      Loop loop,
      PlatformStore store,
      PeerChangeSource peers,
      Forwarder forwarder,
      EntryDirectory entryDirectory,
      EntryVm self,
      long leaseMillis,
      EventSink log) {
    long contactIntervalMillis = EntryRegistration.renewalIntervalMillis(leaseMillis);
    ZoneChangeFeed changeFeed =
        ZoneChangeFeed.of(loop, store, peers, self, contactIntervalMillis, log);
    entryDirectory.setOwnReachability(() -> !forwarder.areTargetsLost());
    EntryControl control =
        new EntryControl(
            loop, store, forwarder, entryDirectory, self, leaseMillis, changeFeed, log);
    StoreFollower follower = StoreFollower.start(loop, store, changeFeed, control, log);
    control.follower = follower;
    forwarder.setStaleRulesCheck(follower::mayHaveStaleRules);
    return control;
  }

  /** True if this VM reads the store directly, so that it may serve changes to others. */
  public boolean isReader() {
    return changeFeed.isReader();
  }

  /** See {@link StoreFollower#stalenessMillis}. */
  public long stalenessMillis() {
    StoreFollower current = follower;
    return current == null ? StoreConfirmation.NEVER : current.stalenessMillis();
  }

  /** How far this VM follows the store. */
  public StoreFollower.Progress progress() {
    StoreFollower current = follower;
    return current == null ? StoreFollower.Progress.none() : current.progress();
  }

  /** True if what this VM knows of the store may be out of date. */
  public boolean isOutOfContact() {
    StoreFollower current = follower;
    return current == null || current.isOutOfContact();
  }

  /** True if calls to the store failed recently. */
  public boolean hadRecentFailures() {
    StoreFollower current = follower;
    return current == null || current.hadFailureWithin(RECENT_FAILURE_MILLIS);
  }

  /** Calls {@code listener} with the live VMs, now and whenever they change. */
  public void onLiveVms(Consumer<Collection<EntryVm>> listener) {
    liveVmListener = listener;
    publishEntries();
  }

  /** Removes this VM from look-ups and from the store when it stops. */
  public void deregister() {
    isStopping = true;
    entryDirectory.excludeSelf();
    EntryRegistration current = registration;
    if (current != null) {
      current.deregister();
    }
  }

  private void register() {
    registration =
        EntryRegistration.start(
            loop, store, this::currentSelf, leaseMillis, log, this::onStoreCall);
  }

  private EntryVm currentSelf() {
    return self.withReachesTargets(!forwarder.areTargetsLost());
  }

  private void onStoreCall(boolean answered) {
    StoreFollower current = follower;
    if (current != null) {
      current.onStoreCall(answered);
    }
  }

  @Override
  public void onChanged(String key, ItemContent content) {
    if (content instanceof ItemContent.Rules rules) {
      applyRules(rules.rules());
    } else if (content instanceof ItemContent.Target target) {
      applyTarget(target.target());
    } else if (content instanceof ItemContent.ZoneEvacuated zone) {
      forwarder.targets().evacuateZone(zone.zone());
      forwarder.onCapacityChange();
      log.record(EventKind.VIEW_CHANGED, "", "", zone.zone(), 0, "zone evacuated");
    } else if (content instanceof ItemContent.Crash crash) {
      forwarder.onCrashReport(crash.report());
    } else if (content instanceof ItemContent.Success success) {
      forwarder.onRunSuccess(success.success());
    } else if (content instanceof ItemContent.Entry entry) {
      pendingMemberRemovals.remove(entry.vm().name());
      entryDirectory.add(entry.vm());
      forwarder.onEntryVmRegistered(entry.vm().name());
      EntryRegistration current = registration;
      if (current != null && entry.vm().name().equals(self.name())) {
        current.onItemPresent();
      }
      log.record(EventKind.MEMBER_JOINED, "", "", entry.vm().name(), 0, entry.vm().address());
      schedulePublishEntries();
    }
  }

  private void applyRules(RoutingRules rules) {
    boolean isFirst = forwarder.rules() == null;
    if (!forwarder.applyRules(rules)) {
      log.record(
          EventKind.VIEW_CHANGED,
          "",
          "",
          "rules",
          rules.version(),
          "not newer than those in force");
      return;
    }
    log.record(
        EventKind.CONTRACT_IN_FORCE,
        "",
        "",
        "rules",
        rules.version(),
        rules.routeCount() + " routes" + describeOrigin());
    if (isFirst && !isStopping) {
      register();
    }
  }

  private void applyTarget(TargetFacts target) {
    TargetTable.Change change = forwarder.updateTarget(target);
    EventKind kind = target.isDraining() ? EventKind.TARGET_LEAVING : EventKind.TARGET_HELD;
    if (target.isDraining()) {
      recordLeavingDelay(0);
    }
    log.record(
        kind,
        "",
        target.service(),
        target.id(),
        target.incarnation().startedAtMillis(),
        change
            + ", "
            + target.zone()
            + ", cold start "
            + target.remainingColdMillis()
            + " ms"
            + (target.isDraining() ? describeLeaving(target.id()) : ""));
  }

  private StoreFollower.ChangeOrigin changeOrigin() {
    StoreFollower current = follower;
    return current == null ? StoreFollower.ChangeOrigin.none() : current.changeOrigin();
  }

  /** Records how late a target that leaves gets its last request, as an upper bound. */
  private void recordLeavingDelay(long graceMillis) {
    long maxDelayMillis = changeOrigin().maxDelayMillis();
    if (maxDelayMillis != StoreConfirmation.NEVER) {
      forwarder.metrics().recordMillis("target_leaving_delay", maxDelayMillis + graceMillis);
    }
  }

  private String describeOrigin() {
    StoreFollower.ChangeOrigin origin = changeOrigin();
    String delay =
        origin.maxDelayMillis() == StoreConfirmation.NEVER
            ? ""
            : " with a delay of at most " + origin.maxDelayMillis() + " ms";
    return ", received from " + origin.source() + delay;
  }

  private String describeLeaving(String target) {
    int inFlight = forwarder.targets().find(target).map(TargetState::inFlight).orElse(0);
    return describeOrigin() + ", own in flight there " + inFlight;
  }

  @Override
  public void onRemoved(String key, ItemContent previous, int removedTargetCount) {
    if (previous instanceof ItemContent.Target target) {
      long graceMillis = mayBeLeaseLapse(removedTargetCount) ? LAPSE_GRACE_MILLIS : 0;
      forwarder.targets().scheduleRemoval(target.target().id(), loop.nowMillis() + graceMillis);
      forwarder.onCapacityChange();
      recordLeavingDelay(graceMillis);
      log.record(
          EventKind.TARGET_LEAVING,
          "",
          "",
          target.target().id(),
          0,
          "removed, applied after " + graceMillis + " ms" + describeLeaving(target.target().id()));
    } else if (previous instanceof ItemContent.ZoneEvacuated zone) {
      forwarder.targets().endEvacuation(zone.zone(), loop.nowMillis(), coldStartMillis());
      forwarder.onCapacityChange();
      log.record(EventKind.VIEW_CHANGED, "", "", zone.zone(), 0, "zone evacuation ended");
    } else if (previous instanceof ItemContent.Entry entry) {
      if (entry.vm().name().equals(self.name())) {
        rewriteRegistration();
      }
      long graceMillis = mayBeLeaseLapse(removedTargetCount) ? LAPSE_GRACE_MILLIS : 0;
      pendingMemberRemovals.add(entry.vm().name());
      var unused = loop.schedule(graceMillis, () -> onMemberLeft(entry.vm()));
    }
  }

  /**
   * Stops using a target or an entry VM whose entry was overwritten with a malformed one, until the
   * entry is readable again: the new entry may have announced that it stops. Requests in flight
   * there continue. Malformed rules change nothing, since an older version never comes back.
   */
  @Override
  public void onMalformed(
      String key, long revision, @Nullable ItemContent previous, ItemContent.Malformed item) {
    malformedItems.record(key, revision, item);
    if (previous instanceof ItemContent.Target target) {
      forwarder.targets().scheduleRemoval(target.target().id(), loop.nowMillis());
    } else if (previous instanceof ItemContent.Entry entry) {
      pendingMemberRemovals.add(entry.vm().name());
      onMemberLeft(entry.vm());
      if (entry.vm().name().equals(self.name())) {
        rewriteRegistration();
      }
    }
  }

  @Override
  public void onNotApplied(String key, long revision, Throwable failure) {
    malformedItems.recordNotApplied(key, revision, failure);
  }

  private void rewriteRegistration() {
    EntryRegistration current = registration;
    if (current != null) {
      current.onItemLost();
    }
  }

  /** Removes an entry VM, unless it has registered again during the grace period. */
  private void onMemberLeft(EntryVm vm) {
    if (!pendingMemberRemovals.remove(vm.name())) {
      return;
    }
    log.record(EventKind.MEMBER_LEFT, "", "", vm.name(), 0, vm.address());
    entryDirectory.remove(vm.name());
    schedulePublishEntries();
  }

  private boolean mayBeLeaseLapse(int removedTargetCount) {
    StoreFollower current = follower;
    return removedTargetCount > MASS_REMOVAL_FRACTION * forwarder.targets().size()
        || (current != null && current.hadFailureWithin(RECENT_FAILURE_MILLIS));
  }

  private long coldStartMillis() {
    RoutingRules rules = forwarder.rules();
    return rules == null
        ? DEFAULT_COLD_MILLIS
        : Math.max(DEFAULT_COLD_MILLIS, rules.maxColdMillis());
  }

  @Override
  public void onInitialReadComplete() {
    log.record(EventKind.STORE_UP, "", "", "store", 0, "initial read complete");
    isInitialReadComplete = true;
    publishEntries();
  }

  /** Publishes the list of VMs once for all changes applied together. */
  private void schedulePublishEntries() {
    if (!isPublishScheduled) {
      isPublishScheduled = true;
      loop.execute(this::publishEntries);
    }
  }

  private void publishEntries() {
    isPublishScheduled = false;
    Collection<EntryVm> live = entryDirectory.liveVms();
    List<EntryVmLocation> locations =
        live.stream().map(vm -> new EntryVmLocation(vm.name(), vm.zone(), vm.region())).toList();
    changeFeed.updateLiveVms(live);
    liveVmListener.accept(live);
    forwarder.updateRelayPeers(
        live.stream()
            .filter(vm -> !vm.name().equals(self.name()))
            .map(EntryVm::relayPeer)
            .flatMap(Optional::stream)
            .toList());
    // Before, the list has this VM alone, which would take the shares of all.
    if (isInitialReadComplete) {
      forwarder.updateEntries(locations);
      forwarder.quotas().updateLiveVms(entryDirectory.registeredNames());
    }
  }
}
