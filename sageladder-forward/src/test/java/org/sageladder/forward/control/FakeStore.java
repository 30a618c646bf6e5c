package org.sageladder.forward.control;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quarantine.CrashReport;

/** A store that answers nothing but what a test overrides. */
abstract class FakeStore implements PlatformStore {
  @Override
  public void read(
      @Nullable String afterKey, boolean mayBeStale, Consumer<StoreAnswer<StorePage>> then) {}

  @Override
  public void lease(long millis, Consumer<StoreAnswer<Long>> then) {}

  @Override
  public void renew(long lease, Consumer<StoreAnswer<Long>> then) {}

  @Override
  public void endLease(long lease, Consumer<StoreAnswer<Long>> then) {}

  @Override
  public void tellCrash(
      String vm, CrashReport report, long lease, Consumer<StoreAnswer<Long>> then) {}

  @Override
  public void announce(EntryVm self, long lease, Consumer<StoreAnswer<Long>> then) {}
}
