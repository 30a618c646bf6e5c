package org.sageladder.forward.control;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quarantine.QuarantineNotice;

/** A store that does not respond, except to the calls that a test overrides. */
abstract class FakeStore implements PlatformStore {
  @Override
  public void read(
      @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback) {}

  @Override
  public void readRevision(Consumer<StoreResult<Long>> callback) {}

  @Override
  public void readPastRevision(Consumer<StoreResult<Long>> callback) {}

  @Override
  public void grantLease(long durationMillis, Consumer<StoreResult<Long>> callback) {}

  @Override
  public void renewLease(long leaseId, Consumer<StoreResult<Long>> callback) {}

  @Override
  public void revokeLease(long leaseId, Consumer<StoreResult<Long>> callback) {}

  @Override
  public void publishNotice(
      String vmName, QuarantineNotice notice, long leaseId, Consumer<StoreResult<Long>> callback) {}

  @Override
  public void writeEntry(EntryVm self, long leaseId, Consumer<StoreResult<Long>> callback) {}
}
