package org.sageladder.core.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.ZoneSummary;

/** The routes of all services of one contract. */
final class CustomerTable {
  private final RegionIndex regionIndex;
  private final Map<String, ServiceTable> tablesByService;

  private CustomerTable(RegionIndex regions, Map<String, ServiceTable> services) {
    this.regionIndex = regions;
    this.tablesByService = services;
  }

  static CustomerTable build(
      Contract contract,
      ClusterState state,
      Map<String, List<ZoneSummary>> summaries,
      SteeringInputs inputs,
      @Nullable CustomerTable previous) {
    boolean sameRegions = previous != null && previous.regionIndex.matches(contract);
    RegionIndex regions =
        previous != null && sameRegions ? previous.regionIndex : RegionIndex.of(contract);
    Map<String, ServiceTable> services = new HashMap<>();
    for (Contract.Service service : contract.services()) {
      List<ZoneSummary> own = summaries.getOrDefault(service.name(), List.of());
      ServiceFacts facts = ServiceFacts.of(contract, service, state, own, inputs.nowMillis());
      ServiceTable before =
          previous != null && sameRegions ? previous.tablesByService.get(service.name()) : null;
      services.put(service.name(), ServiceTable.build(facts, regions, inputs.ttlMillis(), before));
    }
    return new CustomerTable(regions, services);
  }

  @Nullable ServiceTable service(String name) {
    return tablesByService.get(name);
  }
}
