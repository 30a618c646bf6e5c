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
 * What the spread items say, decoded. Not thread-safe.
 *
 * <p>The table of items already refuses lower versions; this class refuses content that cannot be
 * read, and keeps what was in force before.
 */
final class KnownState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ControlIdentity identity;
  private final TimeSource time;
  private final ControlTimes times;
  private final Map<String, Long> heardNanos = new HashMap<>();
  private final Set<String> silent = new TreeSet<>();
  private final Map<String, RelayedView> views = new TreeMap<>();
  private final Map<String, ZoneReport> reports = new TreeMap<>();
  private final Map<String, RelayedView> takeOvers = new TreeMap<>();
  private @Nullable Contract contract;
  private boolean changed;
  private boolean urgent;

  /** Nothing is known; zones not heard for long count as lost. */
  KnownState(ControlIdentity identity, TimeSource time, ControlTimes times) {
    this.identity = identity;
    this.time = time;
    this.times = times;
  }

  /** Takes an item in; true where its content could be read and concerns this customer. */
  boolean accept(Item item) {
    try {
      boolean taken = decode(item);
      changed |= taken;
      return taken;
    } catch (ProtocolException | SettingsException | RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "%s at version %d cannot be read; what was known before stays in force",
          item.key(), item.version());
      return false;
    }
  }

  private boolean decode(Item item) throws ProtocolException, SettingsException {
    return switch (item.key().kind()) {
      case CONTRACT -> contract(item);
      case VIEW -> {
        if (ZoneTakeOver.isTakeOver(item.key())) {
          RelayedView taken = MembershipCodec.decodeView(item.payload());
          takeOvers.put(taken.view().zone(), taken);
          yield false;
        }
        heard(item.key().name());
        views.put(item.key().name(), MembershipCodec.decodeView(item.payload()));
        urgent = true;
        yield true;
      }
      case SUMMARY -> {
        ZoneReport report = MembershipCodec.decodeReport(item.payload());
        heard(report.zone());
        ZoneReport held = reports.get(report.zone());
        boolean newer = held == null || report.takenAtMillis() >= held.takenAtMillis();
        if (newer) {
          reports.put(report.zone(), report);
        }
        yield newer;
      }
      case NOTICE -> false;
    };
  }

  private boolean contract(Item item) throws SettingsException {
    if (!item.key().name().equals(identity.customer())) {
      return false;
    }
    Contract read =
        StoredContract.fromStored(
                new StoredValue(
                    StoredContract.keyOf(identity.customer()), item.version(), item.payload()))
            .contract();
    Contract before = contract;
    if (before != null && before.revision() >= read.revision()) {
      return false;
    }
    contract = read;
    urgent = true;
    return true;
  }

  /** Revision of the contract known here, 0 for none. */
  long revision() {
    Contract known = contract;
    return known == null ? 0 : known.revision();
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
   * What another zone took over of {@code zone}: its targets as holdings, none once given back, and
   * the zone that took them as relay.
   */
  Optional<RelayedView> takeOver(String zone) {
    return Optional.ofNullable(takeOvers.get(zone));
  }

  boolean isSilent(String zone) {
    return silent.contains(zone);
  }

  /** Whether anything was heard lately of any of {@code zones}. */
  boolean hearsAny(List<String> zones) {
    return zones.stream().anyMatch(zone -> heardNanos.containsKey(zone) && !silent.contains(zone));
  }

  /** Zones of the own zone's region but itself, by the contract in force. */
  List<String> regionMates() {
    Contract known = contract;
    if (known == null) {
      return List.of();
    }
    return known.regions().stream()
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

  private void heard(String zone) {
    heardNanos.put(zone, time.nanos());
    if (silent.remove(zone)) {
      urgent = true;
    }
  }

  /**
   * Notes zones that have become silent, and returns them.
   *
   * <p>Guards against steering to a zone that is lost: nobody is left there to change its view, so
   * it would name dead VMs for ever. A zone that is only cut off from this one cannot be reached
   * from here either. The own zone never counts as silent.
   */
  Set<String> noteSilence() {
    Set<String> fresh = new TreeSet<>();
    long patience = times.zoneSilence(views.size()).toNanos();
    for (Map.Entry<String, Long> entry : heardNanos.entrySet()) {
      boolean quiet = time.nanos() - entry.getValue() > patience;
      if (quiet && !entry.getKey().equals(identity.zone()) && silent.add(entry.getKey())) {
        fresh.add(entry.getKey());
      }
    }
    if (!fresh.isEmpty()) {
      urgent = true;
      changed = true;
    }
    return fresh;
  }

  /** Whether a contract or a view changed since the last {@link #snapshot}. */
  boolean urgentlyChanged() {
    return urgent;
  }

  /** Whether anything changed since the last {@link #snapshot}. */
  boolean changed() {
    return changed;
  }

  /** Everything known, for the request path. */
  ClusterState snapshot() {
    changed = false;
    urgent = false;
    Map<String, ZoneView> plain = new HashMap<>();
    views.forEach(
        (zone, view) -> plain.put(zone, silent.contains(zone) ? empty(view.view()) : view.view()));
    List<ZoneSummary> summaries = new ArrayList<>();
    for (ZoneReport report : reports.values()) {
      if (!silent.contains(report.zone())) {
        summaries.addAll(report.summaries());
      }
    }
    Contract known = contract;
    Map<String, Contract> contracts = known == null ? Map.of() : Map.of(identity.customer(), known);
    return new ClusterState(contracts, plain, summaries);
  }

  private static ZoneView empty(ZoneView view) {
    return new ZoneView(view.zone(), view.number(), List.of(), List.of());
  }
}
