package org.sageladder.bench.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * The environment of one customer's entry VMs: the platform's store and VM list, and the targets.
 * All run in this process, so that faults can be injected and counters read.
 *
 * <pre>{@code
 * try (StandIns standIns = StandIns.start("kalnins-dauge")) {
 *   standIns.putContract(contract);
 *   standIns.startTarget(TargetOptions.create("bids-1"), "bids", "riga-1");
 * }
 * }</pre>
 */
public final class StandIns implements AutoCloseable {
  /** All processes listen on this IP address. */
  public static final String HOST = "127.0.0.1";

  private final String customer;
  private final StoreServer store;
  private final Map<String, TargetServer> targets = new LinkedHashMap<>();
  private final Map<String, ListedVm> listedVms = new LinkedHashMap<>();

  private StandIns(String customer) throws IOException {
    this.customer = customer;
    this.store = StoreServer.start(HOST, 0);
  }

  /** Starts with an empty store and an empty VM list. */
  public static StandIns start(String customer) throws IOException {
    return new StandIns(customer);
  }

  /** Stores the customer's first contract. */
  public void putContract(Contract contract) {
    byte[] value = new StoredContract("initial", "bench", contract).toBytes();
    store.state().compareAndSet(StoredContract.keyOf(customer), 0, value, null);
  }

  /** Starts a target of {@code service} and adds it to the list. */
  public TargetServer startTarget(TargetOptions options, String service, String zone)
      throws IOException {
    TargetServer target = TargetServer.start(options);
    synchronized (listedVms) {
      targets.put(options.id(), target);
    }
    listTarget(options.id(), service, zone, target.port(), target.incarnation());
    return target;
  }

  /** Adds a target to the list; it need not exist. */
  public void listTarget(String id, String service, String zone, int port, long incarnation) {
    putListed(
        new ListedVm(
            VmRole.TARGET, id, customer, service, zone, HOST, port, 0, incarnation, false));
  }

  /** Updates a listed target: marks it as draining, or as live with a new incarnation. */
  public void listTarget(String id, long incarnation, boolean isDraining) {
    ListedVm vm = listedVm(id);
    putListed(
        new ListedVm(
            vm.role(),
            id,
            customer,
            vm.service(),
            vm.zone(),
            vm.host(),
            vm.port(),
            vm.innerPort(),
            incarnation,
            isDraining));
  }

  /**
   * Adds an entry VM to the list, as live or draining.
   *
   * @param incarnation incarnation number, 0 if the platform does not know it
   */
  public void listEntry(EntryProcess entry, long incarnation, boolean isDraining) {
    putListed(
        new ListedVm(
            VmRole.ENTRY,
            entry.vm(),
            customer,
            "",
            entry.zone(),
            HOST,
            entry.callersPort(),
            entry.innerPort(),
            incarnation,
            isDraining));
  }

  private void putListed(ListedVm vm) {
    synchronized (listedVms) {
      listedVms.put(vm.id(), vm);
    }
    store.putVm(vm);
  }

  /** Removes a VM from the list, as the platform does some time after the VM has ended. */
  public void unlist(String id) {
    store.removeVm(id);
  }

  /** Adds a removed VM to the list again, unchanged. */
  public void relist(String id) {
    store.putVm(listedVm(id));
  }

  private ListedVm listedVm(String id) {
    synchronized (listedVms) {
      ListedVm vm = listedVms.get(id);
      if (vm == null) {
        throw new IllegalArgumentException(
            "no VM " + id + " was listed, only " + listedVms.keySet());
      }
      return vm;
    }
  }

  /** The store and the VM list. */
  public StoreServer store() {
    return store;
  }

  /** All targets in the order they were started. */
  public List<TargetServer> targets() {
    synchronized (listedVms) {
      return List.copyOf(targets.values());
    }
  }

  /** Targets that run {@code service}. */
  public List<TargetServer> targetsOf(String service) {
    return targetsWhere(line -> line.service().equals(service));
  }

  /** Targets in {@code zone}. */
  public List<TargetServer> targetsIn(String zone) {
    return targetsWhere(line -> line.zone().equals(zone));
  }

  private List<TargetServer> targetsWhere(Predicate<ListedVm> condition) {
    List<TargetServer> matching = new ArrayList<>();
    for (TargetServer target : targets()) {
      if (condition.test(listedVm(target.options().id()))) {
        matching.add(target);
      }
    }
    return matching;
  }

  @Override
  public void close() {
    targets().forEach(TargetServer::close);
    store.close();
  }
}
