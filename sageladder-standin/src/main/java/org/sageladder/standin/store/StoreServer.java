package org.sageladder.standin.store;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.store.StoreMessages;
import org.sageladder.standin.fault.FaultJson;
import org.sageladder.standin.http.JsonExchange.Call;
import org.sageladder.standin.http.JsonExchange.Reply;
import org.sageladder.standin.http.JsonServer;

/**
 * A server for the platform's key-value service and its list of VMs.
 *
 * <pre>{@code
 * try (StoreServer server = StoreServer.start("127.0.0.1", 0);
 *     HttpStore store = HttpStore.connect(server.address(), Duration.ofSeconds(2))) {
 *   server.setFaults(StoreFaults.none().withLoseAnswers(1));
 *   // the next write takes effect, and its caller gets StoreException.OutcomeUnknown
 * }
 * }</pre>
 *
 * <p>{@code /admin/faults}, {@code /admin/counts} and {@code /admin/vms/<id>} are not affected by
 * faults and not counted.
 */
public final class StoreServer implements AutoCloseable {
  private static final long TICK_MILLIS = 20;

  private final StoreState state;
  private final VmTable vms;
  private final WatchTable watches;
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer;
  private final JsonServer server;
  private final String host;
  private final Object faultLock = new Object();
  private StoreFaults faults = StoreFaults.none();
  private SplittableRandom random = new SplittableRandom(0);

  private StoreServer(String host, int port, TimeSource time) throws IOException {
    this.host = host;
    this.state = StoreState.create(time);
    this.vms = VmTable.create(time);
    this.watches = WatchTable.create(state, time);
    this.timer =
        Executors.newScheduledThreadPool(
            2,
            task -> {
              Thread thread = new Thread(task, "store-stand-in");
              thread.setDaemon(true);
              return thread;
            });
    this.server = JsonServer.start(host, port, this::handle);
    ScheduledFuture<?> unused =
        timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Starts an empty store on {@code port} of {@code host}; 0 picks a free port. */
  public static StoreServer start(String host, int port) throws IOException {
    return start(host, port, TimeSource.system());
  }

  /** Starts an empty store whose leases, watches and list of VMs use {@code time}. */
  public static StoreServer start(String host, int port, TimeSource time) throws IOException {
    return new StoreServer(host, port, time);
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the address to pass to {@code HttpStore.connect}. */
  public URI address() {
    return URI.create("http://" + host + ":" + port());
  }

  /** Returns the state behind the server, for tests that bypass the faults. */
  public StoreState state() {
    return state;
  }

  /** Replaces all faults; calls in progress keep the previous ones. */
  public void setFaults(StoreFaults next) {
    synchronized (faultLock) {
      faults = next;
      random = new SplittableRandom(next.seed());
    }
    vms.setLag(Duration.ofMillis(next.vmListLagMillis()));
  }

  /** Returns the current faults, with the remaining numbers of the counted ones. */
  public StoreFaults faults() {
    synchronized (faultLock) {
      return faults;
    }
  }

  /** Returns the number of calls since the start by kind, including refused and lost ones. */
  public Map<String, Long> counts() {
    Map<String, Long> result = new TreeMap<>();
    counts.forEach((kind, count) -> result.put(kind, count.sum()));
    return result;
  }

  /** Adds a VM to the list, or replaces the one with the same id. */
  public void putVm(ListedVm vm) {
    vms.put(vm);
  }

  /** Removes a VM from the list. */
  public void removeVm(String id) {
    vms.remove(id);
  }

  @Override
  public void close() {
    server.close();
    timer.shutdownNow();
  }

  private void tick() {
    state.expireLeases();
    watches.deliver();
  }

  private CompletableFuture<Reply> handle(Call call) {
    if (call.path().startsWith("/admin/")) {
      return admin(call);
    }
    StoreCall kind = StoreCall.ofPath(call.path());
    if (kind == null) {
      return completed(Reply.json(404, Map.of("error", "no such path: " + call.path())));
    }
    counts.computeIfAbsent(kind.label(), ignored -> new LongAdder()).increment();
    CallFaults callFaults = drawFaults(kind);
    if (callFaults.hangs) {
      return new CompletableFuture<>();
    }
    if (callFaults.slowMillis == 0) {
      return execute(kind, call, callFaults);
    }
    CompletableFuture<Reply> later = new CompletableFuture<>();
    ScheduledFuture<?> unused =
        timer.schedule(
            () -> complete(later, execute(kind, call, callFaults)),
            callFaults.slowMillis,
            TimeUnit.MILLISECONDS);
    return later;
  }

  private static void complete(CompletableFuture<Reply> later, CompletableFuture<Reply> source) {
    CompletableFuture<Void> unused = source.thenAccept(later::complete);
  }

  private record CallFaults(
      long slowMillis, boolean isDown, boolean hangs, boolean losesRequest, boolean losesAnswer) {}

  private CallFaults drawFaults(StoreCall kind) {
    synchronized (faultLock) {
      boolean isEligible = kind.isWrite() && !faults.down() && !faults.hang();
      boolean loseRequest = isEligible && faults.loseRequests() > 0;
      boolean loseAnswer = isEligible && !loseRequest && faults.loseAnswers() > 0;
      if (loseRequest) {
        faults = faults.withLoseRequests(faults.loseRequests() - 1);
      }
      if (loseAnswer) {
        faults = faults.withLoseAnswers(faults.loseAnswers() - 1);
      }
      boolean isDrawn = isEligible && random.nextDouble() < faults.loseProbability();
      return new CallFaults(
          faults.slowMillis(), faults.down(), faults.hang(), loseRequest, loseAnswer || isDrawn);
    }
  }

  private CompletableFuture<Reply> execute(StoreCall kind, Call call, CallFaults callFaults) {
    if (callFaults.isDown) {
      return completed(Reply.json(503, Map.of("error", "the store is down")));
    }
    if (callFaults.losesRequest) {
      return completed(Reply.closeConnection());
    }
    CompletableFuture<Reply> reply;
    try {
      reply = apply(kind, call);
    } catch (IOException | RuntimeException e) {
      reply = completed(Reply.json(400, Map.of("error", String.valueOf(e.getMessage()))));
    }
    if (kind.isWrite()) {
      watches.deliver();
    }
    return callFaults.losesAnswer ? completed(Reply.closeConnection()) : reply;
  }

  private CompletableFuture<Reply> apply(StoreCall kind, Call call) throws IOException {
    return switch (kind) {
      case READ -> completed(read(call));
      case LIST -> completed(Reply.json(200, new StoreMessages.Values(state.list(prefix(call)))));
      case WATCH -> watch(call);
      case VMS -> completed(Reply.json(200, new StoreMessages.Vms(vms.visibleVms())));
      case COMPARE_AND_SET ->
          completed(compareAndSet(call.body(StoreMessages.CompareAndSet.class)));
      case COMPARE_AND_DELETE ->
          completed(compareAndDelete(call.body(StoreMessages.CompareAndDelete.class)));
      case LEASE_GRANT -> completed(grant(call.body(StoreMessages.GrantLease.class)));
      case LEASE_KEEP_ALIVE ->
          completed(aliveReply(state.keepAlive(call.body(StoreMessages.Lease.class).lease())));
      case LEASE_REVOKE ->
          completed(aliveReply(state.revokeLease(call.body(StoreMessages.Lease.class).lease())));
    };
  }

  private Reply read(Call call) {
    return state
        .read(call.query("key", ""))
        .map(value -> Reply.json(200, value))
        .orElseGet(() -> Reply.json(404, Map.of("error", "no such key")));
  }

  private CompletableFuture<Reply> watch(Call call) {
    long afterRevision = Long.parseLong(call.query("after", "0"));
    Duration wait = Duration.ofMillis(Long.parseLong(call.query("waitMillis", "0")));
    CompletableFuture<WatchBatch> batch = watches.await(prefix(call), afterRevision, wait);
    return batch.thenApply(result -> Reply.json(200, result));
  }

  private Reply compareAndSet(StoreMessages.CompareAndSet body) {
    return writeReply(
        state.compareAndSet(body.key(), body.expectedRevision(), body.value(), body.lease()));
  }

  private Reply compareAndDelete(StoreMessages.CompareAndDelete body) {
    return writeReply(state.compareAndDelete(body.key(), body.expectedRevision()));
  }

  private Reply grant(StoreMessages.GrantLease body) {
    long lease = state.grantLease(Duration.ofMillis(body.ttlMillis()));
    return Reply.json(200, new StoreMessages.Lease(lease));
  }

  private static Reply aliveReply(boolean alive) {
    return Reply.json(200, new StoreMessages.Alive(alive));
  }

  private static Reply writeReply(WriteResult result) {
    if (result instanceof WriteResult.Written done) {
      return Reply.json(200, new StoreMessages.Written(done.revision()));
    }
    StoredValue current = ((WriteResult.Conflict) result).current();
    return Reply.json(409, new StoreMessages.Conflict(current));
  }

  private CompletableFuture<Reply> admin(Call call) {
    try {
      return completed(adminReply(call));
    } catch (IOException | RuntimeException e) {
      return completed(Reply.json(400, Map.of("error", String.valueOf(e.getMessage()))));
    }
  }

  private Reply adminReply(Call call) throws IOException {
    if (call.path().equals("/admin/counts")) {
      return Reply.json(200, counts());
    }
    if (call.path().equals("/admin/faults")) {
      if (call.method().equals("PUT")) {
        setFaults(FaultJson.read(call.body(), StoreFaults.none(), StoreFaults.class));
      }
      return Reply.json(200, faults());
    }
    String vm = call.path().startsWith("/admin/vms/") ? call.path().substring(11) : "";
    if (!vm.isEmpty() && call.method().equals("PUT")) {
      ListedVm listed = call.body(ListedVm.class);
      if (!vm.equals(listed.id())) {
        throw new IOException("path names VM \"" + vm + "\", body \"" + listed.id() + "\"");
      }
      putVm(listed);
      return Reply.json(200, List.of());
    }
    if (!vm.isEmpty() && call.method().equals("DELETE")) {
      removeVm(vm);
      return Reply.json(200, List.of());
    }
    return Reply.json(404, Map.of("error", "no " + call.method() + " at " + call.path()));
  }

  private static String prefix(Call call) {
    return call.query("prefix", "");
  }

  private static CompletableFuture<Reply> completed(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
