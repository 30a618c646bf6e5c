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
 * <p>The value is text with one key per line, newest first: id, creation time in milliseconds,
 * secret in base64. Any entry VM may create or rotate the keys: compare-and-set lets one writer
 * win, and the others adopt the winner's keys. If the answer to a write is lost, the value is read
 * back.
 *
 * <p>While the store is down, {@link #ring} still returns a ring: the last one read, or one created
 * in this process. Other entry VMs cannot verify permits of a local key and forward them to their
 * issuer.
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
   * Returns the keys of {@code customer}, not yet read from the store.
   *
   * @param rotationPeriod age at which the signing key is replaced. A key verifies for two periods,
   *     so the period must be at least the lifetime of a permit.
   */
  public static PermitKeys of(
      Store store, String customer, Duration rotationPeriod, SecureRandom random) {
    return new PermitKeys(store, customer, rotationPeriod, random);
  }

  /** The current keys; never blocks. */
  public KeyRing ring() {
    return ring;
  }

  /** The stored keys as last read; empty if none have been read. Never blocks. */
  public Optional<KeyRing> storedRing() {
    List<KeyRing.Key> stored =
        ring.keys().stream().filter(each -> !each.id().equals(localKey.id())).toList();
    return stored.isEmpty() ? Optional.empty() : Optional.of(KeyRing.of(stored));
  }

  /**
   * Reads the keys, creates them if there are none, and rotates them if the newest is too old.
   *
   * @throws StoreException if the store gave no result; the ring is then unchanged
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
      // The write may have taken effect although its answer was lost; the next attempt reads it
      // back.
    }
  }

  /** Puts a new key first, followed by the keys that may still have live permits. */
  private List<KeyRing.Key> rotated(List<KeyRing.Key> old, long nowMillis) {
    List<KeyRing.Key> keys = new ArrayList<>();
    keys.add(newKey("K", nowMillis));
    for (KeyRing.Key each : old) {
      // The previous key signed until now, so it verifies for one more period. A key that was
      // replaced a whole period ago has no live permits left.
      if (keys.size() < 3) {
        keys.add(each);
      }
    }
    return keys;
  }

  /**
   * Orders the keys so that the signing key is first. A new key signs only after every entry VM has
   * had time to read it; others would refuse what is signed with a key they have not read yet.
   */
  private List<KeyRing.Key> orderForSigning(List<KeyRing.Key> keys, long nowMillis) {
    long propagatedBefore = nowMillis - propagationDelay().toMillis();
    List<KeyRing.Key> ordered = new ArrayList<>(keys);
    if (ordered.size() > 1 && ordered.get(0).createdMillis() > propagatedBefore) {
      ordered.add(1, ordered.remove(0));
    }
    return ordered;
  }

  /**
   * How long a new key is used for verification only. {@link #refresh} must run at least twice in
   * this time.
   */
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
          "line of the stored keys has " + parts.length + " fields, expected ID MILLIS SECRET");
    }
    KeyRing.Secret secret = KeyRing.Secret.of(Base64.getDecoder().decode(parts[2]));
    return new KeyRing.Key(parts[0], Long.parseLong(parts[1]), secret);
  }
}
