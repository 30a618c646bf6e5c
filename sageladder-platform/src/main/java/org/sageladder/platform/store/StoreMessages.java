package org.sageladder.platform.store;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.store.StoredValue;

/**
 * JSON bodies and paths of the platform's key-value service and VM list.
 *
 * <p>Byte arrays are encoded as base64. The response to a refused call has status 503, and the call
 * has not taken effect; the response to a failed comparison has status 409 and a {@link Conflict}.
 */
public final class StoreMessages {
  /** GET with {@code key}: a {@link StoredValue}, or status 404. */
  public static final String VALUE = "/v1/value";

  /** GET with {@code prefix}: {@link Values}. */
  public static final String VALUES = "/v1/values";

  /** POST of {@link CompareAndSet}: {@link Written} or {@link Conflict}. */
  public static final String COMPARE_AND_SET = "/v1/compare-and-set";

  /** POST of {@link CompareAndDelete}: {@link Written} or {@link Conflict}. */
  public static final String COMPARE_AND_DELETE = "/v1/compare-and-delete";

  /** POST of {@link GrantLease}: {@link Lease}. */
  public static final String LEASE_GRANT = "/v1/lease/grant";

  /** POST of {@link Lease}: {@link Alive}. */
  public static final String LEASE_KEEP_ALIVE = "/v1/lease/keep-alive";

  /** POST of {@link Lease}: {@link Alive}, true if the lease existed. */
  public static final String LEASE_REVOKE = "/v1/lease/revoke";

  /** GET with {@code prefix}, {@code after} and {@code waitMillis}: a watch batch. */
  public static final String WATCH = "/v1/watch";

  /** GET: {@link Vms}. */
  public static final String VMS = "/vms";

  private StoreMessages() {}

  /** Values ordered by key. */
  public record Values(List<StoredValue> values) {}

  /** A conditional write; {@code expectedRevision} 0 means that the key must not exist. */
  @SuppressWarnings("ArrayRecordComponent")
  public record CompareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) {}

  /** A conditional delete. */
  public record CompareAndDelete(String key, long expectedRevision) {}

  /** The revision of a write that took effect. */
  public record Written(long revision) {}

  /** The current value instead of the expected revision, null if the key does not exist. */
  public record Conflict(@Nullable StoredValue current) {}

  /** A request for a lease that expires {@code ttlMillis} after its last renewal. */
  public record GrantLease(long ttlMillis) {}

  /** A lease's id. */
  public record Lease(long lease) {}

  /** Whether the lease existed. */
  public record Alive(boolean alive) {}

  /** The platform's list of VMs. */
  public record Vms(List<ListedVm> vms) {}
}
