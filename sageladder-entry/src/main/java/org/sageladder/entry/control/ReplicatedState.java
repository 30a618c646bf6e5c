package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.spread.Item;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.protocol.MembershipCodec;
import org.sageladder.protocol.ProtocolException;
import org.sageladder.protocol.ZoneReport;

/**
 * The decoded content of the replicated items: contract, zone views and zone reports. Not
 * thread-safe.
 *
 * <p>The item table already rejects older versions. This class rejects malformed content and keeps
 * the previous state in force.
 */
final class ReplicatedState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlIdentity identity;
  private final TimeSource time;
  private final ControlTimings timings;
  private final Map<String, Long> lastMessageNanosByZone = new HashMap<>();
  private final Set<String> silentZones = new TreeSet<>();
  private final Map<String, RelayedView> views = new TreeMap<>();
  private final Map<String, ZoneReport> reports = new TreeMap<>();
  private final Map<String, RelayedView> takeOvers = new TreeMap<>();
  private @Nullable Contract contract;
  private boolean hasChanged;
  private boolean hasUrgentChange;

  /** Creates an empty state. */
  ReplicatedState(ControlIdentity identity, TimeSource time, ControlTimings timings) {
    this.identity = identity;
    this.time = time;
    this.timings = timings;
  }

  /** Applies an item; returns true if it changed state that the request path reads. */
  boolean accept(Item item) {
    try {
      boolean isAccepted = decode(item);
      hasChanged |= isAccepted;
      return isAccepted;
    } catch (ProtocolException | SettingsException | RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "%s at version %d is malformed; the previous state stays in force",
          item.key(), item.version());
      return false;
    }
  }

  private boolean decode(Item item) throws ProtocolException, SettingsException {
    return switch (item.key().kind()) {
      case CONTRACT -> acceptContract(item);
      case VIEW -> {
        if (ZoneTakeOver.isTakeOver(item.key())) {
          RelayedView takeOver = MembershipCodec.decodeView(item.payload());
          takeOvers.put(takeOver.view().zone(), takeOver);
          yield false;
        }
        recordMessageFrom(item.key().name());
        views.put(item.key().name(), MembershipCodec.decodeView(item.payload()));
        hasUrgentChange = true;
        yield true;
      }
      case SUMMARY -> {
        ZoneReport report = MembershipCodec.decodeReport(item.payload());
        recordMessageFrom(report.zone());
        ZoneReport previous = reports.get(report.zone());
        boolean isNewer = previous == null || report.takenAtMillis() >= previous.takenAtMillis();
        if (isNewer) {
          reports.put(report.zone(), report);
        }
        yield isNewer;
      }
      case NOTICE -> false;
    };
  }

  private boolean acceptContract(Item item) throws SettingsException {
    if (!item.key().name().equals(identity.customer())) {
      return false;
    }
    Contract stored =
        StoredContract.fromStored(
                new StoredValue(
                    StoredContract.keyOf(identity.customer()), item.version(), item.payload()))
            .contract();
    Contract current = contract;
    if (current != null && current.revision() >= stored.revision()) {
      return false;
    }
    contract = stored;
    hasUrgentChange = true;
    return true;
  }

  /** Revision of the current contract, or 0 if there is none. */
  long contractRevision() {
    Contract current = contract;
    return current == null ? 0 : current.revision();
  }

  @Nullable Contract contract() {
    return contract;
  }

  Optional<RelayedView> view(String zone) {
    return Optional.ofNullable(views.get(zone));
  }

  Map<String, RelayedView> views() {
    return views;
  }

  /**
   * The take-over of targets of {@code zone} by another zone: the targets as holdings, empty once
   * given back, and the zone that took them over in place of the relay.
   */
  Optional<RelayedView> takeOver(String zone) {
    return Optional.ofNullable(takeOvers.get(zone));
  }

  boolean isSilent(String zone) {
    return silentZones.contains(zone);
  }

  /** Whether any of {@code zones} has sent a message and is not silent. */
  boolean isAnyLive(List<String> zones) {
    return zones.stream()
        .anyMatch(zone -> lastMessageNanosByZone.containsKey(zone) && !silentZones.contains(zone));
  }

  /** The other zones of the own zone's region, according to the current contract. */
  List<String> otherZonesOfRegion() {
    Contract current = contract;
    if (current == null) {
      return List.of();
    }
    return current.regions().stream()
        .map(Contract.Region::zones)
        .filter(zones -> zones.contains(identity.zone()))
        .flatMap(List::stream)
        .filter(zone -> !zone.equals(identity.zone()))
        .toList();
  }

  /** Latest reports by zone. */
  Map<String, ZoneReport> reports() {
    return new TreeMap<>(reports);
  }

  private void recordMessageFrom(String zone) {
    lastMessageNanosByZone.put(zone, time.nanos());
    if (silentZones.remove(zone)) {
      hasUrgentChange = true;
    }
  }

  /**
   * Marks zones whose timeout has passed as silent, and returns those that are newly silent.
   *
   * <p>Prevents steering to a zone whose entry VMs have all failed: none is left to publish a new
   * view, so the last one would name failed VMs indefinitely. A zone that is only partitioned from
   * this one cannot be reached from here either. The own zone never counts as silent.
   */
  Set<String> detectSilentZones() {
    Set<String> newlySilent = new TreeSet<>();
    long timeoutNanos = timings.zoneSilenceTimeout(views.size()).toNanos();
    for (Map.Entry<String, Long> entry : lastMessageNanosByZone.entrySet()) {
      boolean isOverdue = time.nanos() - entry.getValue() > timeoutNanos;
      if (isOverdue && !entry.getKey().equals(identity.zone()) && silentZones.add(entry.getKey())) {
        newlySilent.add(entry.getKey());
      }
    }
    if (!newlySilent.isEmpty()) {
      hasUrgentChange = true;
      hasChanged = true;
    }
    return newlySilent;
  }

  /**
   * Whether the contract, a view or the set of silent zones changed since the last {@link
   * #buildClusterState}.
   */
  boolean hasUrgentChange() {
    return hasUrgentChange;
  }

  /** Whether anything changed since the last {@link #buildClusterState}. */
  boolean hasChanged() {
    return hasChanged;
  }

  /**
   * Builds the state for the request path and resets both change flags. Silent zones have no
   * members and no holdings in it, and their load summaries are left out.
   */
  ClusterState buildClusterState() {
    hasChanged = false;
    hasUrgentChange = false;
    Map<String, ZoneView> zoneViews = new HashMap<>();
    views.forEach(
        (zone, view) ->
            zoneViews.put(
                zone, silentZones.contains(zone) ? withoutMembers(view.view()) : view.view()));
    List<ZoneSummary> summaries = new ArrayList<>();
    for (ZoneReport report : reports.values()) {
      if (!silentZones.contains(report.zone())) {
        summaries.addAll(report.summaries());
      }
    }
    Contract current = contract;
    Map<String, Contract> contracts =
        current == null ? Map.of() : Map.of(identity.customer(), current);
    return new ClusterState(contracts, zoneViews, summaries);
  }

  private static ZoneView withoutMembers(ZoneView view) {
    return new ZoneView(view.zone(), view.number(), List.of(), List.of());
  }
}
