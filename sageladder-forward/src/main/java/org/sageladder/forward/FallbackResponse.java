package org.sageladder.forward;

import org.jspecify.annotations.Nullable;

/** The failure that a target answered, returned if no other target answers the request. */
final class FallbackResponse {
  private @Nullable BufferedResponse response;

  boolean isPresent() {
    return response != null;
  }

  /** Bytes of heap that the response occupies. */
  long heldBytes() {
    BufferedResponse kept = response;
    return kept == null ? 0 : kept.heldBytes();
  }

  /** Keeps a response in place of the former one. */
  void replace(BufferedResponse newResponse) {
    release();
    response = newResponse;
  }

  /** Takes the response, which the caller of this method delivers; null if there is none. */
  @Nullable BufferedResponse take() {
    BufferedResponse taken = response;
    response = null;
    return taken;
  }

  /** Releases what is kept. */
  void release() {
    BufferedResponse dropped = take();
    if (dropped != null) {
      dropped.release();
    }
  }
}
