package org.sageladder.core.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.ZoneSummary;

/** The look-up tables of all services of one contract. */
final class CustomerTable {
  private final RegionIndex regionIndex;
  private final Map<String, ServiceTable> tablesByService;

  private CustomerTable(RegionIndex regionIndex, Map<String, ServiceTable> tablesByService) {
    this.regionIndex = regionIndex;
    this.tablesByService = tablesByService;
  }

  static CustomerTable build(
      Contract contract,
      ClusterState state,
      Map<String, List<ZoneSummary>> summaries,
      SteeringInputs inputs,
      @Nullable CustomerTable previous) {
    boolean hasSameRegions = previous != null && previous.regionIndex.matches(contract);
    RegionIndex regionIndex =
        previous != null && hasSameRegions ? previous.regionIndex : RegionIndex.of(contract);
    Map<String, ServiceTable> tablesByService = new HashMap<>();
    for (Contract.Service service : contract.services()) {
      List<ZoneSummary> serviceSummaries = summaries.getOrDefault(service.name(), List.of());
      ServiceFacts facts =
          ServiceFacts.of(contract, service, state, serviceSummaries, inputs.nowMillis());
      ServiceTable previousTable =
          previous != null && hasSameRegions ? previous.tablesByService.get(service.name()) : null;
      tablesByService.put(
          service.name(),
          ServiceTable.build(facts, regionIndex, inputs.ttlMillis(), previousTable));
    }
    return new CustomerTable(regionIndex, tablesByService);
  }

  @Nullable ServiceTable service(String name) {
    return tablesByService.get(name);
  }
}
