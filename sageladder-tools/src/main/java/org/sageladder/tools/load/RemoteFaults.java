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
 * Injects faults into stand-ins that run as separate processes, through their administration
 * endpoints, and undoes them on close, so that the next variant starts from the same system state.
 */
final class RemoteFaults implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RESTART_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String customer;
  private final List<TargetView> targets;
  private final @Nullable URI storeUri;
  private final BlockingHttpClient client;
  private final Deque<UndoAction> pendingUndos = new ArrayDeque<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "mend"));

  /** An action that undoes one fault. */
  @FunctionalInterface
  private interface UndoAction {
    void run() throws IOException;
  }

  /**
   * Creates an injector for the given targets and, if present, the store stand-in.
   *
   * @param customer customer whose contract is changed by {@link
   *     Experiment.FaultKind#CHANGE_CONTRACT}
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
                  + " cannot be injected into processes that are already running; stop one"
                  + " by hand with kill or sageladderctl drain during the experiment");
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
    throw new IOException("no target matches the zone and service of the fault; see --targets");
  }

  private URI requireStore() throws IOException {
    if (storeUri == null) {
      throw new IOException("no store stand-in is configured; give --store http://IP:PORT");
    }
    return storeUri;
  }

  /**
   * Drains a target. If the list of VMs is available, only the list announces the drain: the target
   * itself continues to accept work, which shows whether entry VMs act on the list. Otherwise the
   * target receives the drain request through its administration endpoint.
   */
  private String drain(TargetView target) throws IOException {
    if (storeUri == null) {
      post(target.address().resolve("/admin/drain"));
      pendingUndos.push(() -> restart(target));
      return target.id();
    }
    ListedVm listed = findListedVm(target.id());
    putListedVm(listed.asLeaving());
    pendingUndos.push(
        () -> {
          restart(target);
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
    throw new IOException("the list of VMs has no entry for '" + id + "'");
  }

  private void putListedVm(ListedVm vm) throws IOException {
    put(requireStore().resolve("/admin/vms/" + vm.id()), JSON.writeValueAsBytes(vm));
  }

  /**
   * Returns the entry without the leaving mark. Leaving is final within an incarnation, so the
   * entry gets the next one.
   */
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

  /** Crashes a target, which restarts by itself after its restart delay. */
  private String crash(TargetView target) throws IOException {
    long incarnation = incarnation(target);
    post(target.address().resolve("/admin/crash"));
    pendingUndos.push(() -> awaitRestart(target, incarnation));
    return target.id();
  }

  /** Restarts a target and waits for it: it answers before it closes its connections. */
  private void restart(TargetView target) throws IOException {
    long incarnation = incarnation(target);
    post(target.address().resolve("/admin/restart"));
    awaitRestart(target, incarnation);
  }

  private void awaitRestart(TargetView target, long previousIncarnation) throws IOException {
    long deadlineNanos = System.nanoTime() + RESTART_TIMEOUT.toNanos();
    while (!hasRestarted(target, previousIncarnation)) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IOException(
            target.id() + " has not restarted within " + RESTART_TIMEOUT.toSeconds() + " s");
      }
      sleepBetweenPolls();
    }
  }

  private boolean hasRestarted(TargetView target, long previousIncarnation) {
    try {
      return incarnation(target) > previousIncarnation;
    } catch (IOException e) {
      // Its port is closed or its connections are being reset: the restart is under way.
      return false;
    }
  }

  private long incarnation(TargetView target) throws IOException {
    BufferedHttpResponse response = client.get(target.address().resolve("/admin/state"));
    return JSON.readTree(response.body()).path("load").path("incarnation").asLong();
  }

  private static void sleepBetweenPolls() throws IOException {
    try {
      Thread.sleep(POLL_INTERVAL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while a target restarts", e);
    }
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

  /** Undoes all faults still in effect, the most recent first. */
  @Override
  public void close() {
    timer.shutdownNow();
    pendingUndos.forEach(RemoteFaults::tryUndo);
    pendingUndos.clear();
  }
}
