package org.sageladder.forward;

/**
 * Received bytes that are no part of the response to a request.
 *
 * @param reason why they were discarded
 * @param requestId id of the request in flight, or empty
 * @param answeredId id of the request that the bytes answer, or empty if unknown
 * @param detail what the connection had carried and how the bytes begin
 */
record DiscardedResponse(Reason reason, String requestId, String answeredId, String detail) {
  /** Why bytes were discarded. */
  enum Reason {
    /** No request was in flight. */
    UNSOLICITED,
    /** They answer another request than the one in flight. */
    OTHER_REQUEST,
    /** They are not a response. */
    MALFORMED
  }
}
