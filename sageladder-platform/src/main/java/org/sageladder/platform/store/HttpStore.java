package org.sageladder.platform.store;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;

/**
 * The platform's key-value service over HTTP and JSON.
 *
 * <pre>{@code
 * try (HttpStore store = HttpStore.connect(URI.create("http://127.0.0.1:4100"), Duration.ofSeconds(2))) {
 *   Optional<StoredValue> contract = store.read("contracts/kannelkoda");
 * }
 * }</pre>
 *
 * <p>A call fails with {@link StoreException.Unavailable} where it was refused or never sent, and
 * where it was a read. A write whose answer did not come within the time-out fails with {@link
 * StoreException.OutcomeUnknown}. No call is tried again here. Safe for use by several threads.
 */
public final class HttpStore implements Store {
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int OK = 200;

  private final JsonHttpClient client;

  private HttpStore(JsonHttpClient client) {
    this.client = client;
  }

  /**
   * A store at {@code base}; nothing is sent until the first call.
   *
   * @param base scheme, IP number and port, such as {@code http://127.0.0.1:4100}
   * @param timeout longest wait for an answer; a watch may take its own wait in addition
   */
  public static HttpStore connect(URI base, Duration timeout) {
    return new HttpStore(JsonHttpClient.connect(base, timeout));
  }

  @Override
  public Optional<StoredValue> read(String key) throws StoreException {
    JsonHttpClient.Response answer =
        client.read(StoreMessages.VALUE + "?key=" + encode(key), Duration.ZERO);
    if (answer.status() == NOT_FOUND) {
      return Optional.empty();
    }
    return Optional.of(requireOk(answer).read(StoredValue.class));
  }

  @Override
  public List<StoredValue> list(String prefix) throws StoreException {
    JsonHttpClient.Response answer =
        client.read(StoreMessages.VALUES + "?prefix=" + encode(prefix), Duration.ZERO);
    return requireOk(answer).read(StoreMessages.Values.class).values();
  }

  @Override
  public WriteResult compareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) throws StoreException {
    return writeConditionally(
        StoreMessages.COMPARE_AND_SET,
        new StoreMessages.CompareAndSet(key, expectedRevision, value, lease));
  }

  @Override
  public WriteResult compareAndDelete(String key, long expectedRevision) throws StoreException {
    return writeConditionally(
        StoreMessages.COMPARE_AND_DELETE,
        new StoreMessages.CompareAndDelete(key, expectedRevision));
  }

  private WriteResult writeConditionally(String path, Object body) throws StoreException {
    JsonHttpClient.Response answer = client.write(path, body);
    if (answer.status() == CONFLICT) {
      return new WriteResult.Conflict(answer.read(StoreMessages.Conflict.class).current());
    }
    return new WriteResult.Written(requireOk(answer).read(StoreMessages.Written.class).revision());
  }

  @Override
  public long grantLease(Duration timeToLive) throws StoreException {
    JsonHttpClient.Response answer =
        client.write(
            StoreMessages.LEASE_GRANT, new StoreMessages.GrantLease(timeToLive.toMillis()));
    return requireOk(answer).read(StoreMessages.Lease.class).lease();
  }

  @Override
  public boolean keepAlive(long lease) throws StoreException {
    JsonHttpClient.Response answer =
        client.write(StoreMessages.LEASE_KEEP_ALIVE, new StoreMessages.Lease(lease));
    return requireOk(answer).read(StoreMessages.Alive.class).alive();
  }

  @Override
  public void revokeLease(long lease) throws StoreException {
    requireOk(client.write(StoreMessages.LEASE_REVOKE, new StoreMessages.Lease(lease)));
  }

  @Override
  public WatchBatch watch(String prefix, long afterRevision, Duration wait) throws StoreException {
    String query =
        "?prefix=" + encode(prefix) + "&after=" + afterRevision + "&waitMillis=" + wait.toMillis();
    return requireOk(client.read(StoreMessages.WATCH + query, wait)).read(WatchBatch.class);
  }

  @Override
  public void close() {
    client.close();
  }

  /** A 4xx other than a conflict says that the call itself is wrong, so a retry cannot help. */
  private static JsonHttpClient.Response requireOk(JsonHttpClient.Response answer) {
    if (answer.status() == OK) {
      return answer;
    }
    throw new IllegalArgumentException(
        "the store refused the call with status "
            + answer.status()
            + ": "
            + new String(answer.body(), StandardCharsets.UTF_8));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
