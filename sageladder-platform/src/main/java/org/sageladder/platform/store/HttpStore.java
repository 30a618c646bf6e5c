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
 * Client of the platform's key-value service, over HTTP and JSON.
 *
 * <pre>{@code
 * try (HttpStore store = HttpStore.connect(URI.create("http://127.0.0.1:4100"), Duration.ofSeconds(2))) {
 *   Optional<StoredValue> contract = store.read("contracts/kannelkoda");
 * }
 * }</pre>
 *
 * <p>A call that was refused or never sent, or a read that failed, throws {@link
 * StoreException.Unavailable}. A write whose response did not arrive within the timeout throws
 * {@link StoreException.OutcomeUnknown}. Calls are not retried here. This class is thread-safe.
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
   * Creates a client of the store at {@code base}; nothing is sent until the first call.
   *
   * @param base scheme, IP address and port, such as {@code http://127.0.0.1:4100}
   * @param timeout maximum wait for a response; a watch waits for its own duration in addition
   */
  public static HttpStore connect(URI base, Duration timeout) {
    return new HttpStore(JsonHttpClient.connect(base, timeout));
  }

  @Override
  public Optional<StoredValue> read(String key) throws StoreException {
    JsonHttpClient.Response response =
        client.read(StoreMessages.VALUE + "?key=" + encode(key), Duration.ZERO);
    if (response.status() == NOT_FOUND) {
      return Optional.empty();
    }
    return Optional.of(requireOk(response).read(StoredValue.class));
  }

  @Override
  public List<StoredValue> list(String prefix) throws StoreException {
    JsonHttpClient.Response response =
        client.read(StoreMessages.VALUES + "?prefix=" + encode(prefix), Duration.ZERO);
    return requireOk(response).read(StoreMessages.Values.class).values();
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
    JsonHttpClient.Response response = client.write(path, body);
    if (response.status() == CONFLICT) {
      return new WriteResult.Conflict(response.read(StoreMessages.Conflict.class).current());
    }
    return new WriteResult.Written(
        requireOk(response).read(StoreMessages.Written.class).revision());
  }

  @Override
  public long grantLease(Duration timeToLive) throws StoreException {
    JsonHttpClient.Response response =
        client.write(
            StoreMessages.LEASE_GRANT, new StoreMessages.GrantLease(timeToLive.toMillis()));
    return requireOk(response).read(StoreMessages.Lease.class).lease();
  }

  @Override
  public boolean keepAlive(long lease) throws StoreException {
    JsonHttpClient.Response response =
        client.write(StoreMessages.LEASE_KEEP_ALIVE, new StoreMessages.Lease(lease));
    return requireOk(response).read(StoreMessages.Alive.class).alive();
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

  /**
   * Returns the response if its status is 200. A 4xx status other than a conflict means that the
   * call itself is invalid, so a retry cannot help.
   */
  private static JsonHttpClient.Response requireOk(JsonHttpClient.Response response) {
    if (response.status() == OK) {
      return response;
    }
    throw new IllegalArgumentException(
        "the store refused the call with status "
            + response.status()
            + ": "
            + new String(response.body(), StandardCharsets.UTF_8));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
