package org.sageladder.core.quarantine;

/**
 * A run that ended well of a request that crashes counted against; they no longer do.
 *
 * @param fingerprint fingerprint of the request
 * @param atMillis wall-clock time of the entry VM that saw the run
 */
public record RunSuccess(long fingerprint, long atMillis) implements QuarantineNotice {
  @Override
  public String key() {
    return "success/" + Long.toHexString(fingerprint);
  }
}
