package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.ZoneSummary;

/**
 * Answers look-ups from precomputed arrays.
 *
 * <pre>{@code
 * LookUpTable table = LookUpTable.build(state, SteeringInputs.at(time.wallMillis()));
 * Route route = table.lookUp("kannelkoda", "search", 4711, random.nextLong());
 * }</pre>
 *
 * <p>Immutable; a look-up takes no lock and allocates no object. A build that is given the previous
 * table reuses its unchanged parts.
 */
public final class LookUpTable {
  private final Map<String, CustomerTable> tablesByCustomer;

  private LookUpTable(Map<String, CustomerTable> tablesByCustomer) {
    this.tablesByCustomer = tablesByCustomer;
  }

  /** Builds the table for all contracts in {@code state}. */
  public static LookUpTable build(ClusterState state, SteeringInputs inputs) {
    Map<String, Map<String, List<ZoneSummary>>> summaries = byCustomerAndService(state);
    Map<String, CustomerTable> tablesByCustomer = new HashMap<>();
    LookUpTable previous = inputs.previous();
    for (Contract contract : state.contracts().values()) {
      CustomerTable previousTable =
          previous == null ? null : previous.tablesByCustomer.get(contract.customer());
      Map<String, List<ZoneSummary>> customerSummaries =
          summaries.getOrDefault(contract.customer(), Map.of());
      tablesByCustomer.put(
          contract.customer(),
          CustomerTable.build(contract, state, customerSummaries, inputs, previousTable));
    }
    return new LookUpTable(tablesByCustomer);
  }

  private static Map<String, Map<String, List<ZoneSummary>>> byCustomerAndService(
      ClusterState state) {
    Map<String, Map<String, List<ZoneSummary>>> summaries = new HashMap<>();
    for (ZoneSummary summary : state.summaries()) {
      summaries
          .computeIfAbsent(summary.customer(), name -> new HashMap<>())
          .computeIfAbsent(summary.service(), name -> new ArrayList<>())
          .add(summary);
    }
    return summaries;
  }

  /**
   * Returns the route for a caller in {@code block}.
   *
   * @param random any 64 bits; equal bits give equal answers
   * @return null if the contract, the service or the block is unknown or no entry VM can serve it
   */
  public @Nullable Route lookUp(String customer, String service, int block, long random) {
    ServiceTable table = table(customer, service);
    return table == null ? null : table.route(block, random);
  }

  /**
   * Returns the fraction of the callers of one region that is sent to one zone, 0 to 1.
   *
   * @param region index of the region in the contract
   * @param zone index of the zone among all zones of the contract
   */
  public double trafficFraction(String customer, String service, int region, int zone) {
    ServiceTable table = table(customer, service);
    return table == null ? 0 : table.trafficFraction(region, zone);
  }

  private @Nullable ServiceTable table(String customer, String service) {
    CustomerTable contract = tablesByCustomer.get(customer);
    return contract == null ? null : contract.service(service);
  }
}
