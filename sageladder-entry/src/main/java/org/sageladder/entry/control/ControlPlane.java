package org.sageladder.entry.control;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.protocol.ZoneReport;

/** How an entry VM learns of contracts, members and targets, and tells others of itself. */
public interface ControlPlane extends AutoCloseable {
  /** Whether this entry VM may serve what needs a contract. */
  enum Readiness {
    /** Neither the store nor a peer has told which contract is in force. */
    WAITING,
    /** A contract is in force here. */
    READY,
    /** A planned stop has begun. */
    LEAVING
  }

  /** The state as known now; never blocks. */
  ClusterState state();

  /** Calls {@code listener} with each new state, one at a time, from a control thread. */
  void onChange(Consumer<ClusterState> listener);

  /** Names where this entry VM's own summaries come from. */
  void setSummarySource(Supplier<List<ZoneSummary>> source);

  /** Tells the others that this entry VM takes no new duties and holds no targets from now on. */
  void beginLeaving();

  /** Whether this entry VM may serve what needs a contract. */
  Readiness readiness();

  /** Names where reports on the targets that this entry VM holds or still uses come from. */
  default void setTargetReportSource(Supplier<List<TargetReport>> source) {}

  /** Says, before each dispatch, how many slots of a holding may be used now. */
  default HoldingGuard guard() {
    return HoldingGuard.unrestricted();
  }

  /** Tells peers where callers reach this entry VM; only then does it join its zone's view. */
  default void startServing(int callersPort) {}

  /** Small payloads to other entry VMs. */
  default PeerMessages messages() {
    return PeerMessages.none();
  }

  /** Latest report of each zone: lowest revision in force and who lags. */
  default List<ZoneReport> zoneReports() {
    return List.of();
  }

  /** Whether this entry VM is its zone's relay now. */
  default boolean isRelay() {
    return false;
  }

  @Override
  void close();
}
