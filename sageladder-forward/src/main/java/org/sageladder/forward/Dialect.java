package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;

/**
 * How callers and targets name what goes between them in headers.
 *
 * <p>The forwarding code asks in these terms only, so that it serves any platform.
 */
public interface Dialect {
  /** Id of the caller's attempt, or null where it has none. */
  @Nullable String requestId(HttpHeaders request);

  /** Milliseconds that the caller will wait, or -1 where it does not say. */
  long deadlineMillis(HttpHeaders request);

  /** Key of the object that the request concerns, or null. */
  @Nullable String objectKey(HttpHeaders request);

  /** True where the request bears an API key, well-formed or not. */
  boolean hasApiKey(HttpHeaders request);

  /** The API key, or null where there is none, more than one, or one that is malformed. */
  @Nullable String apiKey(HttpHeaders request);

  /**
   * Takes the API key out of the head of a request, and names the workspace that holds it.
   *
   * @param workspace its name, or null for a request of no workspace
   */
  void replaceApiKey(HttpHeaders request, @Nullable String workspace);

  /** Adds to the head of a request what a target is to know: time left and who is meant. */
  void addTargetHeaders(HttpHeaders request, String target, long millisLeft);

  /** Names the request in an answer of sageladder's own. */
  void addRequestId(HttpHeaders answer, String requestId);

  /** Id of the request that a target answers, or null where it does not say. */
  @Nullable String answeredRequestId(HttpHeaders answer);

  /** True where the target says that it has not run the request and never will. */
  boolean isNotRun(int status, HttpHeaders answer);

  /** True where another target has the address of the one that was meant. */
  boolean isMisdirected(int status);

  /** True where the answer is one that a target made itself, unchanged on its way. */
  boolean isAuthentic(int status, HttpHeaders answer);

  /** The load that the target tells, or null. */
  @Nullable LoadReport loadReport(HttpHeaders answer);
}
