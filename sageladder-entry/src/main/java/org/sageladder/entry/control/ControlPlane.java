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

/**
 * Distributes contracts, membership and target holdings to an entry VM, and publishes its own
 * state.
 */
public interface ControlPlane extends AutoCloseable {
  /** Whether this entry VM may serve requests that need a contract. */
  enum Readiness {
    /** Neither the store nor a peer has reported the contract in force yet. */
    WAITING,
    /** A contract is in force here. */
    READY,
    /** A planned stop has begun. */
    LEAVING
  }

  /** The latest known state; never blocks. */
  ClusterState state();

  /**
   * Calls {@code listener} with each new state, one at a time, on a thread of the control plane.
   */
  void onChange(Consumer<ClusterState> listener);

  /** Sets the source of this entry VM's own load summaries. */
  void setSummarySource(Supplier<List<ZoneSummary>> source);

  /**
   * Announces to the peers that this entry VM is leaving: it may no longer become relay or hold
   * targets.
   */
  void beginLeaving();

  /** Whether this entry VM may serve requests that need a contract. */
  Readiness readiness();

  /** Sets the source of reports on the targets that this entry VM holds or still uses. */
  default void setTargetReportSource(Supplier<List<TargetReport>> source) {}

  /** Limits, before each dispatch, how many slots of a holding may be used. */
  default HoldingGuard guard() {
    return HoldingGuard.unrestricted();
  }

  /**
   * Publishes the port on which callers reach this entry VM, which joins its zone's view only then.
   */
  default void startServing(int callersPort) {}

  /** Sends small payloads to other entry VMs and receives theirs. */
  default PeerMessages messages() {
    return PeerMessages.none();
  }

  /**
   * Latest report of each zone, with its lowest contract revision in force and the VMs that lag.
   */
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
