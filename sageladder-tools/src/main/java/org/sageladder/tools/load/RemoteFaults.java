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
import org.sageladder.tools.http.HttpAnswer;
import org.sageladder.tools.http.HttpCaller;
import org.sageladder.tools.load.Experiment.Fault;

/**
 * Breaks stand-ins that run as processes of their own, through their administrators' calls, and
 * mends them again at the end, so that the next variant meets the same system.
 */
final class RemoteFaults implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String customer;
  private final List<TargetView> targets;
  private final @Nullable URI store;
  private final HttpCaller caller;
  private final Deque<Mend> mends = new ArrayDeque<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "mend"));

  /** Undoes one fault. */
  @FunctionalInterface
  private interface Mend {
    void run() throws IOException;
  }

  /**
   * Faults of the given targets and, where there is one, of the store stand-in.
   *
   * @param customer whose contract is changed
   */
  RemoteFaults(String customer, List<TargetView> targets, @Nullable URI store, HttpCaller caller) {
    this.customer = customer;
    this.targets = targets;
    this.store = store;
    this.caller = caller;
  }

  String inject(Fault fault) throws IOException {
    return switch (fault.kind()) {
      case DRAIN_TARGET -> drain(chosen(fault));
      case CRASH_TARGET -> crash(chosen(fault));
      case SLOW_TARGET -> breakTarget(fault, "{\"slowFactor\":" + fault.factor() + "}");
      case SHED_TARGET -> breakTarget(fault, "{\"shed\":true}");
      case MISLEADING_LOAD -> breakTarget(fault, "{\"reportBusy\":0}");
      case STORE_DOWN -> {
        breakUntilMended(fault, knownStore().resolve("/admin/faults"), "{\"down\":true}");
        yield "store";
      }
      case CHANGE_CONTRACT -> ContractChange.longerDrain(knownStore(), customer);
      case KILL_ENTRY, STOP_ENTRY ->
          throw new IOException(
              fault.kind()
                  + " cannot be done to processes that run already; end one by hand with kill or"
                  + " sageladderctl drain while the experiment runs");
    };
  }

  private TargetView chosen(Fault fault) throws IOException {
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

  private URI knownStore() throws IOException {
    if (store == null) {
      throw new IOException("no store stand-in is known; give --store http://IP:PORT");
    }
    return store;
  }

  /**
   * Announces the end by the list alone where the list is known, so that the target itself goes on
   * taking work and shows whether the gates heed the list; otherwise the target is told.
   */
  private String drain(TargetView target) throws IOException {
    if (store == null) {
      post(target.address().resolve("/admin/drain"));
      mends.push(() -> post(target.address().resolve("/admin/restart")));
      return target.id();
    }
    ListedVm listed = listed(target.id());
    list(listed.asLeaving());
    mends.push(
        () -> {
          post(target.address().resolve("/admin/restart"));
          list(restarted(listed));
        });
    return target.id();
  }

  private ListedVm listed(String id) throws IOException {
    try (HttpVmList list = HttpVmList.connect(knownStore(), TIMEOUT)) {
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

  private void list(ListedVm vm) throws IOException {
    put(knownStore().resolve("/admin/vms/" + vm.id()), JSON.writeValueAsBytes(vm));
  }

  /** A line that is no longer leaving, which holds only for a later incarnation. */
  private static ListedVm restarted(ListedVm vm) {
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

  private String breakTarget(Fault fault, String faults) throws IOException {
    TargetView target = chosen(fault);
    breakUntilMended(fault, target.address().resolve("/admin/faults"), faults);
    return target.id();
  }

  private void breakUntilMended(Fault fault, URI uri, String faults) throws IOException {
    put(uri, faults.getBytes(StandardCharsets.UTF_8));
    Mend mend = () -> put(uri, "{}".getBytes(StandardCharsets.UTF_8));
    mends.push(mend);
    if (!fault.length().isZero()) {
      var unused =
          timer.schedule(() -> tryTo(mend), fault.length().toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private void post(URI uri) throws IOException {
    check(uri, caller.post(uri, new byte[0], ContentType.APPLICATION_JSON));
  }

  private void put(URI uri, byte[] body) throws IOException {
    check(uri, caller.put(uri, body, ContentType.APPLICATION_JSON));
  }

  private static void check(URI uri, HttpAnswer answer) throws IOException {
    if (answer.status() / 100 != 2) {
      throw new IOException(uri + ": status " + answer.status() + ": " + answer.text());
    }
  }

  private static void tryTo(Mend mend) {
    try {
      mend.run();
    } catch (IOException e) {
      System.err.println("sageladder-load: a fault could not be undone: " + e.getMessage());
    }
  }

  /** Undoes all that is left, the latest first. */
  @Override
  public void close() {
    timer.shutdownNow();
    mends.forEach(RemoteFaults::tryTo);
    mends.clear();
  }
}
