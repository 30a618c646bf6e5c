package org.sageladder.tools.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ContentType;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.store.StoreException;
import org.sageladder.platform.store.HttpVmList;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.http.BufferedHttpResponse;
import org.sageladder.tools.load.Experiment.Fault;

/**
 * Breaks stand-ins that run as processes of their own, through their administrators' calls, and
 * mends them again at the end, so that the next variant meets the same system.
 */
final class RemoteFaults implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String customer;
  private final List<TargetView> targets;
  private final @Nullable URI storeUri;
  private final BlockingHttpClient client;
  private final Deque<UndoAction> pendingUndos = new ArrayDeque<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "mend"));

  /** Undoes one fault. */
  @FunctionalInterface
  private interface UndoAction {
    void run() throws IOException;
  }

  /**
   * Faults of the given targets and, where there is one, of the store stand-in.
   *
   * @param customer whose contract is changed
   */
  RemoteFaults(
      String customer,
      List<TargetView> targets,
      @Nullable URI storeUri,
      BlockingHttpClient client) {
    this.customer = customer;
    this.targets = targets;
    this.storeUri = storeUri;
    this.client = client;
  }

  String inject(Fault fault) throws IOException {
    return switch (fault.kind()) {
      case DRAIN_TARGET -> drain(findTarget(fault));
      case CRASH_TARGET -> crash(findTarget(fault));
      case SLOW_TARGET -> setTargetFaults(fault, "{\"slowFactor\":" + fault.factor() + "}");
      case SHED_TARGET -> setTargetFaults(fault, "{\"shed\":true}");
      case MISLEADING_LOAD -> setTargetFaults(fault, "{\"reportBusy\":0}");
      case STORE_DOWN -> {
        setFaultsUntilUndone(fault, requireStore().resolve("/admin/faults"), "{\"down\":true}");
        yield "store";
      }
      case CHANGE_CONTRACT -> ContractChange.extendDrainLimit(requireStore(), customer);
      case KILL_ENTRY, STOP_ENTRY ->
          throw new IOException(
              fault.kind()
                  + " cannot be done to processes that run already; end one by hand with kill or"
                  + " sageladderctl drain while the experiment runs");
    };
  }

  private TargetView findTarget(Fault fault) throws IOException {
    for (TargetView target : targets) {
      boolean matches =
          (fault.zone().isEmpty() || fault.zone().equals(target.zone()))
              && (fault.service().isEmpty() || fault.service().equals(target.service()));
      if (matches) {
        return target;
      }
    }
    throw new IOException("no target is in the chosen zone and service; see --targets");
  }

  private URI requireStore() throws IOException {
    if (storeUri == null) {
      throw new IOException("no store stand-in is known; give --store http://IP:PORT");
    }
    return storeUri;
  }

  /**
   * Announces the end by the list alone where the list is known, so that the target itself goes on
   * taking work and shows whether the gates heed the list; otherwise the target is told.
   */
  private String drain(TargetView target) throws IOException {
    if (storeUri == null) {
      post(target.address().resolve("/admin/drain"));
      pendingUndos.push(() -> post(target.address().resolve("/admin/restart")));
      return target.id();
    }
    ListedVm listed = findListedVm(target.id());
    putListedVm(listed.asLeaving());
    pendingUndos.push(
        () -> {
          post(target.address().resolve("/admin/restart"));
          putListedVm(asRestarted(listed));
        });
    return target.id();
  }

  private ListedVm findListedVm(String id) throws IOException {
    try (HttpVmList list = HttpVmList.connect(requireStore(), CALL_TIMEOUT)) {
      for (ListedVm vm : list.fetch()) {
        if (vm.id().equals(id)) {
          return vm;
        }
      }
    } catch (StoreException e) {
      throw new IOException("the list of VMs cannot be read: " + e.getMessage(), e);
    }
    throw new IOException("the list of VMs does not name '" + id + "'");
  }

  private void putListedVm(ListedVm vm) throws IOException {
    put(requireStore().resolve("/admin/vms/" + vm.id()), JSON.writeValueAsBytes(vm));
  }

  /** A line that is no longer leaving, which holds only for a later incarnation. */
  private static ListedVm asRestarted(ListedVm vm) {
    return new ListedVm(
        vm.role(),
        vm.id(),
        vm.customer(),
        vm.service(),
        vm.zone(),
        vm.host(),
        vm.port(),
        vm.innerPort(),
        vm.incarnation() + 1,
        false);
  }

  /** It comes back by itself after its own pause. */
  private String crash(TargetView target) throws IOException {
    post(target.address().resolve("/admin/crash"));
    return target.id();
  }

  private String setTargetFaults(Fault fault, String faults) throws IOException {
    TargetView target = findTarget(fault);
    setFaultsUntilUndone(fault, target.address().resolve("/admin/faults"), faults);
    return target.id();
  }

  private void setFaultsUntilUndone(Fault fault, URI uri, String faults) throws IOException {
    put(uri, faults.getBytes(StandardCharsets.UTF_8));
    UndoAction undo = () -> put(uri, "{}".getBytes(StandardCharsets.UTF_8));
    pendingUndos.push(undo);
    if (!fault.duration().isZero()) {
      var unused =
          timer.schedule(() -> tryUndo(undo), fault.duration().toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void post(URI uri) throws IOException {
    requireSuccess(uri, client.post(uri, new byte[0], ContentType.APPLICATION_JSON));
  }

  private void put(URI uri, byte[] body) throws IOException {
    requireSuccess(uri, client.put(uri, body, ContentType.APPLICATION_JSON));
  }

  private static void requireSuccess(URI uri, BufferedHttpResponse response) throws IOException {
    if (response.status() / 100 != 2) {
      throw new IOException(uri + ": status " + response.status() + ": " + response.text());
    }
  }

  private static void tryUndo(UndoAction undo) {
    try {
      undo.run();
    } catch (IOException e) {
      System.err.println("sageladder-load: a fault could not be undone: " + e.getMessage());
    }
  }

  /** Undoes all that is left, the latest first. */
  @Override
  public void close() {
    timer.shutdownNow();
    pendingUndos.forEach(RemoteFaults::tryUndo);
    pendingUndos.clear();
  }
}
