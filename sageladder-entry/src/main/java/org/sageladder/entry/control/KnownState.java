package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.spread.Item;
import org.sageladder.core.store.StoredValue;
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

  private final String customer;
  private final Map<String, RelayedView> views = new TreeMap<>();
  private final Map<String, ZoneReport> reports = new TreeMap<>();
  private @Nullable Contract contract;
  private boolean changed;
  private boolean urgent;

  KnownState(String customer) {
    this.customer = customer;
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
        views.put(item.key().name(), MembershipCodec.decodeView(item.payload()));
        urgent = true;
        yield true;
      }
      case SUMMARY -> {
        reports.put(item.key().name(), MembershipCodec.decodeReport(item.payload()));
        yield true;
      }
      case NOTICE -> false;
    };
  }

  private boolean contract(Item item) throws SettingsException {
    if (!item.key().name().equals(customer)) {
      return false;
    }
    Contract read =
        StoredContract.fromStored(
                new StoredValue(StoredContract.keyOf(customer), item.version(), item.payload()))
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

  /** Latest reports by zone. */
  Map<String, ZoneReport> reports() {
    return new TreeMap<>(reports);
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
    views.forEach((zone, view) -> plain.put(zone, view.view()));
    List<ZoneSummary> summaries = new ArrayList<>();
    reports.values().forEach(report -> summaries.addAll(report.summaries()));
    Contract known = contract;
    Map<String, Contract> contracts = known == null ? Map.of() : Map.of(customer, known);
    return new ClusterState(contracts, plain, summaries);
  }
}
