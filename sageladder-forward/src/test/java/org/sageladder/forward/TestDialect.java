package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.RateLimitSignal;
import org.sageladder.core.placing.TargetSignals;

/** Headers that the callers and targets of the tests use. */
final class TestDialect implements Dialect {
  @Override
  public @Nullable String requestId(HttpHeaders request) {
    return request.getAll("Id").size() == 1 ? request.get("Id") : null;
  }

  @Override
  public long deadlineMillis(HttpHeaders request) {
    return Long.parseLong(request.get("Wait", "-1"));
  }

  @Override
  public @Nullable String objectKey(HttpHeaders request) {
    return request.get("Object");
  }

  @Override
  public boolean hasApiKey(HttpHeaders request) {
    return request.contains("Key");
  }

  @Override
  public @Nullable String apiKey(HttpHeaders request) {
    return request.getAll("Key").size() == 1 ? request.get("Key") : null;
  }

  @Override
  public void replaceApiKey(HttpHeaders request, @Nullable String workspace) {
    request.remove("Key");
    if (workspace == null) {
      request.remove("Workspace");
    } else {
      request.set("Workspace", workspace);
    }
  }

  @Override
  public void addTargetHeaders(HttpHeaders request, String target, long remainingMillis) {
    request.set("Wait", remainingMillis);
    request.set("For", target);
  }

  @Override
  public void setDeadline(HttpHeaders request, long remainingMillis) {
    request.set("Wait", remainingMillis);
  }

  @Override
  public void addRequestId(HttpHeaders response, String requestId) {
    response.set("Id", requestId);
  }

  @Override
  public @Nullable String answeredRequestId(HttpHeaders response) {
    return response.get("Id");
  }

  @Override
  public boolean isNotRun(int status, HttpHeaders response) {
    return isMisdirected(status) || response.contains("Not-Run");
  }

  @Override
  public boolean isMisdirected(int status) {
    return status == 421;
  }

  @Override
  public boolean isAuthentic(int status, HttpHeaders response) {
    return status != 200 || response.contains("Seal");
  }

  @Override
  public TargetSignals targetSignals(int status, HttpHeaders response) {
    String limit = response.get("Limit");
    return new TargetSignals(
        null,
        limit == null
            ? new RateLimitSignal.Unlimited()
            : new RateLimitSignal.Limited(Double.parseDouble(limit)),
        response.contains("Draining"),
        Long.parseLong(response.get("Back-Off", "0")));
  }
}
