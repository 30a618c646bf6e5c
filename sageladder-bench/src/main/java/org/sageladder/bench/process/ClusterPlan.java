package org.sageladder.bench.process;

import java.util.List;
import java.util.function.UnaryOperator;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.target.TargetOptions;

/**
 * What a {@link ProcessCluster} is made of.
 *
 * <pre>{@code
 * ClusterPlan plan =
 *     ClusterPlan.of(contract).zones(List.of("riga-1", "riga-2")).entriesPerZone(2).targetsPerZone(3);
 * }</pre>
 *
 * @param contract contract that is in the store before any entry VM starts
 * @param zones zones that get entry VMs and targets
 * @param entriesPerZone entry VMs in each of those
 * @param targetsPerZone targets of each service in each of those
 * @param heapMegabytes heap of each entry VM's process
 * @param entrySettings YAML added to each entry VM's settings
 * @param targetCustomizer changes the options of each target
 */
public record ClusterPlan(
    Contract contract,
    List<String> zones,
    int entriesPerZone,
    int targetsPerZone,
    int heapMegabytes,
    String entrySettings,
    UnaryOperator<TargetOptions> targetCustomizer) {

  /** Copies the list, so that the plan cannot change. */
  public ClusterPlan {
    zones = List.copyOf(zones);
  }

  /** One entry VM and one target of each service in every zone, 48 MB of heap. */
  public static ClusterPlan of(Contract contract) {
    return new ClusterPlan(contract, contract.zones(), 1, 1, 48, "", options -> options);
  }

  /** The same plan in these zones only. */
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

  /** The same plan with that many entry VMs in each zone. */
  public ClusterPlan entriesPerZone(int entries) {
    return new ClusterPlan(
        contract, zones, entries, targetsPerZone, heapMegabytes, entrySettings, targetCustomizer);
  }

  /** The same plan with that many targets of each service in each zone. */
  public ClusterPlan targetsPerZone(int count) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, count, heapMegabytes, entrySettings, targetCustomizer);
  }

  /** The same plan with that heap. */
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

  /** The same plan with more lines of YAML in each entry VM's settings. */
  public ClusterPlan entrySettings(String yaml) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, targetsPerZone, heapMegabytes, yaml, targetCustomizer);
  }

  /** The same plan with other targets. */
  public ClusterPlan targetCustomizer(UnaryOperator<TargetOptions> change) {
    return new ClusterPlan(
        contract, zones, entriesPerZone, targetsPerZone, heapMegabytes, entrySettings, change);
  }
}
