package org.sageladder.bench.fleet;

import org.sageladder.core.contract.Contract;

/**
 * What fleet to start.
 *
 * @param contract the first contract; its zones are the fleet's
 * @param vmsPerZone entry VMs started in each zone
 * @param heapMegabytes largest heap of each entry VM
 * @param hasRealTargets whether the listed targets answer, from within this process
 */
public record FleetOptions(
    Contract contract, int vmsPerZone, int heapMegabytes, boolean hasRealTargets) {
  /** A fleet whose targets are only listed, for benchmarks of control alone. */
  public FleetOptions(Contract contract, int vmsPerZone, int heapMegabytes) {
    this(contract, vmsPerZone, heapMegabytes, false);
  }
}
