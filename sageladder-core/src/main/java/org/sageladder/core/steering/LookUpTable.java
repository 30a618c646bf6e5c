package org.sageladder.core.steering;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;

/**
 * Answers look-ups from arrays made beforehand.
 *
 * <pre>{@code
 * LookUpTable table = LookUpTable.build(state, SteeringInputs.at(time.wallMillis()));
 * Route route = table.lookUp("kannelkoda", "search", 4711, random.nextLong());
 * }</pre>
 *
 * <p>Immutable; a look-up takes no lock and makes no object.
 */
public final class LookUpTable {
  private final Map<String, ServiceTable> tables;

  private LookUpTable(Map<String, ServiceTable> tables) {
    this.tables = tables;
  }

  /** Makes the table for all contracts in {@code state}. */
  public static LookUpTable build(ClusterState state, SteeringInputs inputs) {
    Map<String, ServiceTable> tables = new HashMap<>();
    for (Contract contract : state.contracts().values()) {
      for (Contract.Service service : contract.services()) {
        ServiceTable table = ServiceTable.build(contract, service, state, inputs);
        tables.put(key(contract.customer(), service.name()), table);
      }
    }
    return new LookUpTable(tables);
  }

  /**
   * The route for a caller in {@code block}.
   *
   * @param random any 64 bits; equal bits give equal answers
   * @return null where the contract, the service or the block is unknown or no entry VM can serve
   */
  public @Nullable Route lookUp(String customer, String service, int block, long random) {
    ServiceTable table = tables.get(key(customer, service));
    return table == null ? null : table.route(block, random);
  }

  private static String key(String customer, String service) {
    return customer + '/' + service;
  }
}
