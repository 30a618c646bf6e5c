package org.sageladder.standin.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sageladder.forward.Loop;

/**
 * The platform's store on a loopback port with its own thread. Safe for use by several threads.
 *
 * <pre>{@code
 * try (StoreStandIn store = StoreStandIn.open()) {
 *   store.put("op/config", text);
 *   store.setFault(StoreFaultMode.BUSY);
 * }
 * }</pre>
 */
public final class StoreStandIn implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  /** Small, so that readers have to request further pages. */
  private static final int MAX_PAGE_ITEMS = 3;

  private final Loop loop = Loop.start();
  private final StoreModel model = new StoreModel(loop::nowMillis, MAX_PAGE_ITEMS);
  private final StorePort port;
  private final CompletableFuture<Integer> opened = new CompletableFuture<>();

  private StoreStandIn() {
    port = StorePort.open(loop, HOST, 0, model, opened::complete);
  }

  /** Opens a store on a free port. */
  public static StoreStandIn open() {
    return new StoreStandIn();
  }

  /** Returns the address of the port. */
  public String address() {
    return HOST + ':' + opened.join();
  }

  /** Injects a fault into all calls; {@link StoreFaultMode#NONE} ends it. */
  public void setFault(StoreFaultMode mode) {
    runOnLoop(() -> port.setFault(mode, caller -> true));
  }

  /** Returns the number of calls so far with that path prefix. */
  public int callCount(String pathPrefix) {
    return callOnLoop(() -> port.callCount(pathPrefix));
  }

  /** Returns whether there is an item with that key. */
  public boolean containsKey(String key) {
    return callOnLoop(() -> model.find(key) != null);
  }

  /** Writes an item. */
  public void put(String key, String value) {
    runOnLoop(() -> model.put(key, PlatformTexts.base64(value), 0));
  }

  /** Removes an item. */
  public void remove(String key) {
    runOnLoop(() -> model.remove(key));
  }

  /** Compacts the history, so that watches from earlier revisions fail. */
  public void compactHistory() {
    runOnLoop(model::compactHistory);
  }

  /** Ends all leases and removes their items. */
  public void revokeLeases() {
    runOnLoop(model::revokeAllLeases);
  }

  private void runOnLoop(Runnable task) {
    var unused =
        callOnLoop(
            () -> {
              task.run();
              return true;
            });
  }

  private <T> T callOnLoop(Supplier<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(call.get()));
    return result.join();
  }

  @Override
  public void close() {
    loop.close();
  }
}
