package org.sageladder.forward;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies a request across attempts, connections and entry VMs.
 *
 * @param value what entry VMs compare
 * @param callerAddress IP address of the caller
 * @param targetHash hash of method and request target
 * @param bodyHash hash of the body
 */
record RequestFingerprint(long value, String callerAddress, int targetHash, int bodyHash) {
  private static final int HEX_RADIX = 16;

  static RequestFingerprint of(String callerAddress, String methodAndTarget, int bodyHash) {
    long value =
        Hashing.komihash5_0()
            .hashCharsToLong(callerAddress + '\n' + methodAndTarget + '\n' + bodyHash);
    return new RequestFingerprint(value, callerAddress, methodAndTarget.hashCode(), bodyHash);
  }

  /** The form of a fingerprint in log lines and in the store. */
  static String toHex(long value) {
    return Long.toUnsignedString(value, HEX_RADIX);
  }

  /** The fingerprint and its parts, so that a log shows in which part two requests differ. */
  String describe() {
    return toHex(value)
        + " of "
        + callerAddress
        + ", target "
        + Integer.toUnsignedString(targetHash, HEX_RADIX)
        + ", body "
        + Integer.toUnsignedString(bodyHash, HEX_RADIX);
  }
}
