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

/** The number that grows with each start of an entry VM. */
public final class Incarnations {
  private static final int RANDOM_BITS = 16;
  private static final int MAX_ATTEMPTS = 5;

  private Incarnations() {}

  /**
   * The number of this start, by the source that the settings name.
   *
   * <p>From the clock it is the time of the start with random low bits, so that two starts differ
   * even where the clock was set back. From the store it is the revision of one write.
   *
   * @throws StoreException where the settings want the store and it gives no answer
   */
  public static long forThisStart(
      EntrySettings.Incarnation source, String customer, String vm, Store store, TimeSource time)
      throws StoreException {
    return switch (source.source()) {
      case FIXED -> source.number();
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
        new StoreException.Unavailable(key + ": other writers kept winning", null);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      try {
        Optional<StoredValue> current = store.read(key);
        long expectedRevision = current.map(StoredValue::revision).orElse(0L);
        if (store.compareAndSet(key, expectedRevision, value, null)
            instanceof WriteResult.Written done) {
          return done.revision();
        }
      } catch (StoreException e) {
        // A write whose answer was lost may stand; the next round writes over it with a higher one.
        lastFailure = e;
      }
    }
    throw lastFailure;
  }
}
