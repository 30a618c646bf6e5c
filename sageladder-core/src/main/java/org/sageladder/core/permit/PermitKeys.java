package org.sageladder.core.permit;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;

/**
 * The MAC keys of a customer, kept under {@code keys/<customer>} in the platform's store.
 *
 * <p>The value is text with one key a line, the newest first: id, creation time in milliseconds,
 * secret in base64. Any entry VM may create or rotate them: compare-and-swap lets one win, and the
 * losers take the winner's. Where a write's answer is lost the value is read back.
 *
 * <p>While the store is down {@link #ring} still returns a ring: the last one read, or one made in
 * this process, whose permits other entry VMs pass on unread to their home.
 *
 * <pre>{@code
 * PermitKeys keys = PermitKeys.of(store, "kannelkoda", Duration.ofDays(1), random);
 * keys.refresh(nowMillis); // from a control thread, at start and every few minutes
 * PermitCodec codec = PermitCodec.of(keys::ring);
 * }</pre>
 */
public final class PermitKeys {
  private static final int SECRET_BYTES = 32;
  private static final int MAX_ATTEMPTS = 3;
  private static final int PROPAGATION_DELAYS_PER_ROTATION_PERIOD = 48;

  private final Store store;
  private final String storeKey;
  private final Duration rotationPeriod;
  private final SecureRandom random;
  private final KeyRing.Key localKey;
  private volatile KeyRing ring;

  private PermitKeys(Store store, String customer, Duration rotationPeriod, SecureRandom random) {
    this.store = store;
    this.storeKey = "keys/" + customer;
    this.rotationPeriod = rotationPeriod;
    this.random = random;
    this.localKey = newKey("L", 0);
    this.ring = KeyRing.of(List.of(localKey));
  }

  /**
   * The keys of {@code customer}, not yet read.
   *
   * @param rotationPeriod age at which the signing key is replaced; a key verifies for two periods,
   *     so the period must be at least the lifetime of a permit
   */
  public static PermitKeys of(
      Store store, String customer, Duration rotationPeriod, SecureRandom random) {
    return new PermitKeys(store, customer, rotationPeriod, random);
  }

  /** The keys of the moment; never blocks. */
  public KeyRing ring() {
    return ring;
  }

  /** The keys that the store holds, as last read; empty while none were read. Never blocks. */
  public Optional<KeyRing> storedRing() {
    List<KeyRing.Key> stored =
        ring.keys().stream().filter(each -> !each.id().equals(localKey.id())).toList();
    return stored.isEmpty() ? Optional.empty() : Optional.of(KeyRing.of(stored));
  }

  /**
   * Reads the keys, creates them where there are none and rotates them where the newest is old.
   *
   * @throws StoreException where the store gave no answer; the ring stays as it was
   */
  public void refresh(long nowMillis) throws StoreException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      Optional<StoredValue> stored = store.read(storeKey);
      List<KeyRing.Key> keys = stored.map(value -> parse(value.value())).orElse(List.of());
      if (isCurrent(keys, nowMillis)) {
        ring = withLocalKey(orderForSigning(keys, nowMillis));
        return;
      }
      writeKeys(stored.orElse(null), rotated(keys, nowMillis));
    }
  }

  private boolean isCurrent(List<KeyRing.Key> keys, long nowMillis) {
    return !keys.isEmpty() && nowMillis - keys.get(0).createdMillis() < rotationPeriod.toMillis();
  }

  private void writeKeys(@Nullable StoredValue old, List<KeyRing.Key> keys) throws StoreException {
    try {
      store.compareAndSet(storeKey, old == null ? 0 : old.revision(), format(keys), null);
    } catch (StoreException.OutcomeUnknown ignored) {
      // The write may stand although its answer was lost; the next round reads what stands.
    }
  }

  /** The new key first, then those that may still have live permits. */
  private List<KeyRing.Key> rotated(List<KeyRing.Key> old, long nowMillis) {
    List<KeyRing.Key> keys = new ArrayList<>();
    keys.add(newKey("K", nowMillis));
    for (KeyRing.Key each : old) {
      // The key signed until now, so it verifies for one period more; one that was replaced a whole
      // period ago has no live permit left.
      if (keys.size() < 3) {
        keys.add(each);
      }
    }
    return keys;
  }

  /**
   * The key that signs first. A new key signs only once every entry VM has had time to read it:
   * what entry VMs send each other under a key not read yet would be refused.
   */
  private List<KeyRing.Key> orderForSigning(List<KeyRing.Key> keys, long nowMillis) {
    long settled = nowMillis - propagationDelay().toMillis();
    List<KeyRing.Key> ordered = new ArrayList<>(keys);
    if (ordered.size() > 1 && ordered.get(0).createdMillis() > settled) {
      ordered.add(1, ordered.remove(0));
    }
    return ordered;
  }

  /** Time for which a new key is only verified with; refresh at least twice as often. */
  public Duration propagationDelay() {
    return rotationPeriod.dividedBy(PROPAGATION_DELAYS_PER_ROTATION_PERIOD);
  }

  private KeyRing withLocalKey(List<KeyRing.Key> keys) {
    List<KeyRing.Key> all = new ArrayList<>(keys);
    all.add(localKey);
    return KeyRing.of(all);
  }

  private KeyRing.Key newKey(String prefix, long createdMillis) {
    byte[] secret = new byte[SECRET_BYTES];
    random.nextBytes(secret);
    String id = prefix + Long.toString(random.nextLong() & Long.MAX_VALUE, 36);
    return new KeyRing.Key(id, createdMillis, KeyRing.Secret.of(secret));
  }

  private static byte[] format(List<KeyRing.Key> keys) {
    StringBuilder text = new StringBuilder();
    for (KeyRing.Key each : keys) {
      String secret = Base64.getEncoder().encodeToString(each.secret().bytes());
      text.append(each.id()).append(' ').append(each.createdMillis()).append(' ');
      text.append(secret).append('\n');
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static List<KeyRing.Key> parse(byte[] value) {
    String text = new String(value, StandardCharsets.US_ASCII);
    return Arrays.stream(text.split("\n"))
        .filter(line -> !line.isBlank())
        .map(PermitKeys::parseKey)
        .toList();
  }

  private static KeyRing.Key parseKey(String line) {
    String[] parts = line.split(" ");
    if (parts.length != 3) {
      throw new IllegalStateException(
          "a line of the stored keys has " + parts.length + " words, not ID MILLIS SECRET");
    }
    KeyRing.Secret secret = KeyRing.Secret.of(Base64.getDecoder().decode(parts[2]));
    return new KeyRing.Key(parts[0], Long.parseLong(parts[1]), secret);
  }
}
