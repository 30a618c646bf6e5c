package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Numbers that follow from an object alone, so that all entry VMs agree on them. */
final class ObjectHash {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private ObjectHash() {}

  /**
   * A number from 0 to 1, evenly spread over objects.
   *
   * @param salt another one gives numbers that are independent of those of the first
   */
  static double uniform(long object, long salt) {
    return (HASHER.hashLongLongToLong(object, salt) >>> 1) / (double) Long.MAX_VALUE;
  }
}
