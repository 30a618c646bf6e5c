package org.sageladder.standin.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sageladder.forward.Loop;

/**
 * The platform's store on a loopback port and a thread of its own, to be driven from any thread.
 *
 * <pre>{@code
 * try (StoreStandIn store = StoreStandIn.open()) {
 *   store.put("op/config", text);
 *   store.trouble(StoreTrouble.BUSY);
 * }
 * }</pre>
 */
public final class StoreStandIn implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  /** Few items a page, so that readers have to ask for further ones. */
  private static final int MAX_PAGE_ITEMS = 3;

  private final Loop loop = Loop.start();
  private final StoreModel model = new StoreModel(loop::nowMillis, MAX_PAGE_ITEMS);
  private final StorePort port;
  private final CompletableFuture<Integer> opened = new CompletableFuture<>();

  private StoreStandIn() {
    port = StorePort.open(loop, HOST, 0, model, opened::complete);
  }

  /** Opens it on a free port. */
  public static StoreStandIn open() {
    return new StoreStandIn();
  }

  /** Its address. */
  public String address() {
    return HOST + ':' + opened.join();
  }

  /** From now on all calls go wrong in that way, or well again. */
  public void setFault(StoreFaultMode mode) {
    runOnLoop(() -> port.setFault(mode, caller -> true));
  }

  /** Calls so far whose path begins so. */
  public int callCount(String pathPrefix) {
    return callOnLoop(() -> port.callCount(pathPrefix));
  }

  /** True where there is an item of that key. */
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

  /** Forgets its history, so that watches from before now are told so. */
  public void compactHistory() {
    runOnLoop(model::compactHistory);
  }

  /** Ends all leases and removes what depends on them. */
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
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(call.get()));
    return answer.join();
  }

  @Override
  public void close() {
    loop.close();
  }
}
