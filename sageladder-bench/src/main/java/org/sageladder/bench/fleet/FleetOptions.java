package org.sageladder.bench.fleet;

import org.sageladder.core.contract.Contract;

/**
 * Configuration of a {@link Fleet}.
 *
 * @param contract the first contract, whose zones get entry VMs
 * @param vmsPerZone entry VMs started in each zone
 * @param heapMegabytes maximum heap of each entry VM
 * @param hasRealTargets true if the listed targets are started in this process; otherwise they do
 *     not accept connections
 */
public record FleetOptions(
    Contract contract, int vmsPerZone, int heapMegabytes, boolean hasRealTargets) {
  /** A fleet whose targets are listed but not started, for benchmarks of the control plane only. */
  public FleetOptions(Contract contract, int vmsPerZone, int heapMegabytes) {
    this(contract, vmsPerZone, heapMegabytes, false);
  }
}
