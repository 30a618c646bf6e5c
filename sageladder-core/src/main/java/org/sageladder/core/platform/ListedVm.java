package org.sageladder.core.platform;

/**
 * One entry of the platform's list of VMs, which may be stale.
 *
 * @param id stable name of the VM
 * @param customer customer that the VM belongs to; entry VMs are not shared between customers
 * @param service service that a target runs; empty for an entry VM
 * @param zone availability zone
 * @param host IP address
 * @param port TCP port for requests
 * @param innerPort TCP port of the inner protocol between entry VMs; 0 for a target
 * @param incarnation increases with each restart of the VM; 0 if the platform does not report it
 * @param leaving true once the platform has announced the end of the VM
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

  /** Returns the same entry with the end of the VM announced. */
  public ListedVm asLeaving() {
    return new ListedVm(
        role, id, customer, service, zone, host, port, innerPort, incarnation, true);
  }
}
