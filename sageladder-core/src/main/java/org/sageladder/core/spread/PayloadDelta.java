package org.sageladder.core.spread;

import java.util.Arrays;
import java.util.Optional;

/**
 * The difference between two payloads: what they share at both ends, and the changed middle.
 *
 * <p>An operator's change touches one place of a contract, so this simple form carries a few
 * hundred bytes where the contract has tens of thousands.
 *
 * @param prefix bytes shared at the start
 * @param suffix bytes shared at the end
 * @param middle what stands between them in the newer payload
 */
@SuppressWarnings("ArrayRecordComponent")
public record PayloadDelta(int prefix, int suffix, byte[] middle) {
  /** The delta that makes {@code newer} of {@code older}. */
  public static PayloadDelta between(byte[] older, byte[] newer) {
    int shorter = Math.min(older.length, newer.length);
    int mismatch = Arrays.mismatch(older, newer);
    int prefix = mismatch < 0 ? shorter : Math.min(mismatch, shorter);
    int suffix = 0;
    while (suffix < shorter - prefix
        && older[older.length - 1 - suffix] == newer[newer.length - 1 - suffix]) {
      suffix++;
    }
    return new PayloadDelta(
        prefix, suffix, Arrays.copyOfRange(newer, prefix, newer.length - suffix));
  }

  /** The newer payload, or empty where {@code older} cannot be what the delta was made from. */
  public Optional<byte[]> applyTo(byte[] older) {
    if (prefix < 0 || suffix < 0 || (long) prefix + suffix > older.length) {
      return Optional.empty();
    }
    byte[] newer = new byte[prefix + middle.length + suffix];
    System.arraycopy(older, 0, newer, 0, prefix);
    System.arraycopy(middle, 0, newer, prefix, middle.length);
    System.arraycopy(older, older.length - suffix, newer, prefix + middle.length, suffix);
    return Optional.of(newer);
  }
}
