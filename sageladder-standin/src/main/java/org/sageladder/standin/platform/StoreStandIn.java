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
  private static final int PAGE = 3;

  private final Loop loop = Loop.start();
  private final StoreModel model = new StoreModel(loop::nowMillis, PAGE);
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
  public void trouble(StoreTrouble kind) {
    run(() -> port.trouble(kind, caller -> true));
  }

  /** Calls so far whose path begins so. */
  public int calls(String path) {
    return ask(() -> port.calls(path));
  }

  /** True where there is an item of that key. */
  public boolean has(String key) {
    return ask(() -> model.find(key) != null);
  }

  /** Writes an item. */
  public void put(String key, String value) {
    run(() -> model.put(key, PlatformTexts.base64(value), 0));
  }

  /** Removes an item. */
  public void remove(String key) {
    run(() -> model.remove(key));
  }

  /** Forgets its history, so that watches from before now are told so. */
  public void compact() {
    run(model::forgetHistory);
  }

  /** Ends all leases and removes what depends on them. */
  public void endLeases() {
    run(model::endAllLeases);
  }

  private void run(Runnable task) {
    var unused =
        ask(
            () -> {
              task.run();
              return true;
            });
  }

  private <T> T ask(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(question.get()));
    return answer.join();
  }

  @Override
  public void close() {
    loop.close();
  }
}
