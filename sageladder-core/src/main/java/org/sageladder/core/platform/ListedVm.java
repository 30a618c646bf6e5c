package org.sageladder.core.platform;

/**
 * One line of the platform's lagging list.
 *
 * @param id stable name of the VM
 * @param customer customer it belongs to; a customer's entry VMs carry only that customer
 * @param service service a target runs; empty for an entry VM
 * @param zone availability zone
 * @param host IP number
 * @param port TCP port that takes requests
 * @param innerPort TCP port of the inner protocol; 0 for a target
 * @param incarnation grows each time the VM is started anew; 0 where the platform does not know
 * @param leaving true once the platform has announced its end
 */
public record ListedVm(
    VmRole role,
    String id,
    String customer,
    String service,
    String zone,
    String host,
    int port,
    int innerPort,
    long incarnation,
    boolean leaving) {

  /** The same line once the platform has announced the VM's end. */
  public ListedVm asLeaving() {
    return new ListedVm(
        role, id, customer, service, zone, host, port, innerPort, incarnation, true);
  }
}
