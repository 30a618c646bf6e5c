package org.sageladder.core.spread;

/** A store call that the relay election requires; at most one is in flight. */
public sealed interface ElectionCall {
  /** Reads the key that names the relay. */
  record ReadOwner(String key) implements ElectionCall {}

  /** Grants a lease. */
  record Grant() implements ElectionCall {}

  /** Creates the election's key under {@code lease}, if the key does not exist. */
  @SuppressWarnings("ArrayRecordComponent")
  record Claim(String key, byte[] value, long lease) implements ElectionCall {
    /** Includes only the length of the value, which is binary. */
    @Override
    public String toString() {
      return "Claim[" + key + ", " + value.length + " bytes, lease " + lease + "]";
    }
  }

  /** Renews the lease. */
  record Renew(long lease) implements ElectionCall {}
}
