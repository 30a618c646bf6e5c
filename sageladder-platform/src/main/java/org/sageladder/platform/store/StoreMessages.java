package org.sageladder.platform.store;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.store.StoredValue;

/**
 * JSON bodies and paths of the platform's service.
 *
 * <p>Byte arrays travel as base64 text. A refused call is answered with status 503 and has not
 * taken effect; a lost compare is answered with status 409 and a {@link Conflict}.
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

  /** POST of {@link Lease}: {@link Alive}, true where there was such a lease. */
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

  /** What stands in place of the expected revision, null where the key is gone. */
  public record Conflict(@Nullable StoredValue current) {}

  /** A lease that ends {@code ttlMillis} after its last renewal. */
  public record GrantLease(long ttlMillis) {}

  /** A lease's id. */
  public record Lease(long lease) {}

  /** Whether a lease was there. */
  public record Alive(boolean alive) {}

  /** The platform's list of VMs. */
  public record Vms(List<ListedVm> vms) {}
}
