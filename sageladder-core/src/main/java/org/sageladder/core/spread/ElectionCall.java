package org.sageladder.core.spread;

/** A store call that the relay's duty wants made; one at a time. */
public sealed interface ElectionCall {
  /** Reads who has the duty. */
  record ReadOwner(String key) implements ElectionCall {}

  /** Opens a lease. */
  record Grant() implements ElectionCall {}

  /** Takes the duty's key under {@code lease}, if nobody has it. */
  @SuppressWarnings("ArrayRecordComponent")
  record Claim(String key, byte[] value, long lease) implements ElectionCall {
    /** Tells the value's length only, since it is bytes. */
    @Override
    public String toString() {
      return "Claim[" + key + ", " + value.length + " bytes, lease " + lease + "]";
    }
  }

  /** Renews the lease. */
  record Renew(long lease) implements ElectionCall {}
}
