package org.sageladder.bench.process;

import java.util.List;
import java.util.function.UnaryOperator;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.target.TargetOptions;

/**
 * Configuration of a {@link ProcessCluster}.
 *
 * <pre>{@code
 * ClusterPlan plan =
 *     ClusterPlan.of(contract).zones(List.of("riga-1", "riga-2")).entriesPerZone(2).targetsPerZone(3);
 * }</pre>
 *
 * @param contract contract that is stored before any entry VM starts
 * @param zones zones that get entry VMs and targets
 * @param entriesPerZone entry VMs in each of these zones
 * @param targetsPerZone targets of each service in each of these zones
 * @param heapMegabytes maximum heap of each entry VM's process
 * @param entrySettings YAML added to each entry VM's settings
 * @param targetCustomizer modifies the default options of each target
 */
public record ClusterPlan(
    Contract contract,
    List<String> zones,
    int entriesPerZone,
    int targetsPerZone,
    int heapMegabytes,
    String entrySettings,
    UnaryOperator<TargetOptions> targetCustomizer) {

  /** Makes a defensive copy of the list. */
  public ClusterPlan {
    zones = List.copyOf(zones);
  }

  /** A plan with one entry VM and one target of each service in every zone and 48 MB of heap. */
  public static ClusterPlan of(Contract contract) {
    return new ClusterPlan(contract, contract.zones(), 1, 1, 48, "", options -> options);
  }

  /** The same plan for these zones only. */
  public ClusterPlan zones(List<String> zones) {
    return new ClusterPlan(
        contract,
        zones,
        entriesPerZone,
        targetsPerZone,
        heapMegabytes,
        entrySettings,
        targetCustomizer);
  }

  /** The same plan with this number of entry VMs in each zone. */
  public ClusterPlan entriesPerZone(int entries) {
    return new ClusterPlan(
        contract, zones, entries, targetsPerZone, heapMegabytes, entrySettings, targetCustomizer);
  }

  /** The same plan with this number of targets of each service in each zone. */
  public ClusterPlan targetsPerZone(int count) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, count, heapMegabytes, entrySettings, targetCustomizer);
  }

  /** The same plan with this maximum heap. */
  public ClusterPlan heapMegabytes(int megabytes) {
    return new ClusterPlan(
        contract,
        zones,
        entriesPerZone,
        targetsPerZone,
        megabytes,
        entrySettings,
        targetCustomizer);
  }

  /** The same plan with this YAML added to each entry VM's settings. */
  public ClusterPlan entrySettings(String yaml) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, targetsPerZone, heapMegabytes, yaml, targetCustomizer);
  }

  /** The same plan with this change to the target options. */
  public ClusterPlan targetCustomizer(UnaryOperator<TargetOptions> change) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, targetsPerZone, heapMegabytes, entrySettings, change);
  }
}
