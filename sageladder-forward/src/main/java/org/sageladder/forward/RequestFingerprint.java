package org.sageladder.forward;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies a request across attempts, connections, addresses and entry VMs, by what a target runs
 * and for whom.
 *
 * <p>The caller's address is no part of it: callers send a request again from other addresses.
 *
 * @param value what entry VMs compare
 * @param workspace name of the workspace that sent the request, or empty
 * @param targetHash hash of method, host and request target
 * @param bodyHash hash of the body
 */
record RequestFingerprint(long value, String workspace, int targetHash, long bodyHash) {
  private static final int HEX_RADIX = 16;

  /**
   * Returns the fingerprint of a request.
   *
   * @param target method, host and request target
   */
  static RequestFingerprint of(String workspace, String target, long bodyHash) {
    long value =
        Hashing.komihash5_0()
            .hashStream()
            .putString(workspace)
            .putString(target)
            .putLong(bodyHash)
            .getAsLong();
    return new RequestFingerprint(value, workspace, target.hashCode(), bodyHash);
  }

  /** The form of a fingerprint in log lines and in the store. */
  static String toHex(long value) {
    return Long.toUnsignedString(value, HEX_RADIX);
  }

  /** The fingerprint and its parts, so that a log shows in which part two requests differ. */
  String describe() {
    return toHex(value)
        + " of target "
        + Integer.toUnsignedString(targetHash, HEX_RADIX)
        + ", body "
        + toHex(bodyHash)
        + (workspace.isEmpty() ? "" : ", workspace " + workspace);
  }
}
