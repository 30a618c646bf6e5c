package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Numbers derived from an object alone, so that all entry VMs compute the same. */
final class ObjectHash {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private ObjectHash() {}

  /**
   * Returns a number from 0 to 1, uniformly distributed over objects.
   *
   * @param salt numbers for different salts are independent of each other
   */
  static double uniform(long object, long salt) {
    return (HASHER.hashLongLongToLong(object, salt) >>> 1) / (double) Long.MAX_VALUE;
  }
}
