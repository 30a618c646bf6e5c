package org.sageladder.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.permit.PermitKeys;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.time.TimeSource;

/** Reloads the MAC keys of permits from the platform's store a few times an hour. */
final class KeyRefresher implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  private final PermitKeys keys;
  private final TimeSource time;
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "keys"));

  private KeyRefresher(PermitKeys keys, TimeSource time) {
    this.keys = keys;
    this.time = time;
  }

  static KeyRefresher start(PermitKeys keys, TimeSource time) {
    KeyRefresher refresher = new KeyRefresher(keys, time);
    refresher.scheduleRefresh(Duration.ZERO);
    return refresher;
  }

  private void refresh() {
    try {
      keys.refresh(time.wallMillis());
      scheduleRefresh(nextDelay());
    } catch (StoreException | RuntimeException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "cannot read the permit keys; the current keys stay in use");
      scheduleRefresh(RETRY_DELAY);
    }
  }

  /** Random delay, so that VMs started together do not keep reading at the same time. */
  private Duration nextDelay() {
    long maxMillis = keys.propagationDelay().toMillis() / 2;
    return Duration.ofMillis(ThreadLocalRandom.current().nextLong(maxMillis / 2, maxMillis));
  }

  private void scheduleRefresh(Duration delay) {
    if (!scheduler.isShutdown()) {
      ScheduledFuture<?> unused =
          scheduler.schedule(this::refresh, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }
}
