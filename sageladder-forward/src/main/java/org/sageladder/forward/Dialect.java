package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.TargetSignals;

/**
 * Defines the headers that callers and targets use.
 *
 * <p>The forwarding code depends only on this interface, so that it works with any platform.
 */
public interface Dialect {
  /** Id of the caller's attempt, or null if it is missing or repeated. */
  @Nullable String requestId(HttpHeaders request);

  /** Milliseconds that the caller will wait, or -1 if unspecified. */
  long deadlineMillis(HttpHeaders request);

  /** Key of the object that the request concerns, or null. */
  @Nullable String objectKey(HttpHeaders request);

  /** True if the request carries an API key, well-formed or not. */
  boolean hasApiKey(HttpHeaders request);

  /** The API key, or null if it is missing, repeated or malformed. */
  @Nullable String apiKey(HttpHeaders request);

  /**
   * Replaces the API key in the head of a request by the workspace that holds it.
   *
   * @param workspace name of the workspace, or null if the request belongs to none
   */
  void replaceApiKey(HttpHeaders request, @Nullable String workspace);

  /**
   * Adds the headers for the target to the head of a request: the remaining time and the target id.
   */
  void addTargetHeaders(HttpHeaders request, String target, long remainingMillis);

  /** Sets the remaining time in the head of a request to another entry VM. */
  void setDeadline(HttpHeaders request, long remainingMillis);

  /** Adds the request id to a response that sageladder itself creates. */
  void addRequestId(HttpHeaders response, String requestId);

  /** Id of the request that a target's response belongs to, or null if unspecified. */
  @Nullable String answeredRequestId(HttpHeaders response);

  /** True if the target states that it has not run the request and never will. */
  boolean isNotRun(int status, HttpHeaders response);

  /** True if another target now has the address of the intended one. */
  boolean isMisdirected(int status);

  /** True if the response was created by a target and not altered in transit. */
  boolean isAuthentic(int status, HttpHeaders response);

  /** What the target states about itself; malformed values are marked or left out. */
  TargetSignals targetSignals(int status, HttpHeaders response);
}
