package org.sageladder.bench.fleet;

import org.sageladder.core.contract.Contract;

/**
 * What fleet to start.
 *
 * @param contract the first contract; its zones are the fleet's
 * @param vmsPerZone entry VMs started in each zone
 * @param heapMegabytes largest heap of each entry VM
 */
public record FleetOptions(Contract contract, int vmsPerZone, int heapMegabytes) {}
