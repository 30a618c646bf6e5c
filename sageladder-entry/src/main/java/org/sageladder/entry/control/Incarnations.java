package org.sageladder.entry.control;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Optional;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.settings.EntrySettings;

/** Creates the incarnation of an entry VM, a number that grows with each start. */
public final class Incarnations {
  private static final int RANDOM_BITS = 16;
  private static final int MAX_ATTEMPTS = 5;

  private Incarnations() {}

  /**
   * Returns the incarnation of this start, from the source that the settings select.
   *
   * <p>From the clock, it is the start time with random low bits, so that two starts differ even if
   * the clock was set back. From the store, it is the revision of one write.
   *
   * @throws StoreException if the source is the store and the store does not answer
   */
  public static long forThisStart(
      EntrySettings.Incarnation settings, String customer, String vm, Store store, TimeSource time)
      throws StoreException {
    return switch (settings.source()) {
      case FIXED -> settings.number();
      case CLOCK -> fromClock(time);
      case STORE -> fromStore("incarnations/" + customer + "/" + vm, store);
    };
  }

  private static long fromClock(TimeSource time) {
    long randomBits = new SecureRandom().nextInt(1 << RANDOM_BITS);
    return time.wallMillis() << RANDOM_BITS | randomBits;
  }

  private static long fromStore(String key, Store store) throws StoreException {
    byte[] nonce = new byte[Long.BYTES];
    new SecureRandom().nextBytes(nonce);
    byte[] value = new String(nonce, StandardCharsets.ISO_8859_1).getBytes(StandardCharsets.UTF_8);
    StoreException lastFailure =
        new StoreException.Unavailable(key + ": lost every compare-and-set to other writers", null);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      try {
        Optional<StoredValue> current = store.read(key);
        long expectedRevision = current.map(StoredValue::revision).orElse(0L);
        if (store.compareAndSet(key, expectedRevision, value, null)
            instanceof WriteResult.Written done) {
          return done.revision();
        }
      } catch (StoreException e) {
        // A write whose response was lost may have succeeded; the next attempt overwrites it and
        // gets a higher revision.
        lastFailure = e;
      }
    }
    throw lastFailure;
  }
}
