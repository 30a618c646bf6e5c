package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;

/** Headers of the tests' callers and targets. */
final class PlainDialect implements Dialect {
  @Override
  public @Nullable String requestId(HttpHeaders request) {
    return request.get("Id");
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
  public boolean bearsApiKey(HttpHeaders request) {
    return request.contains("Key");
  }

  @Override
  public @Nullable String apiKey(HttpHeaders request) {
    return request.getAll("Key").size() == 1 ? request.get("Key") : null;
  }

  @Override
  public void identify(HttpHeaders request, @Nullable String workspace) {
    request.remove("Key");
    if (workspace == null) {
      request.remove("Workspace");
    } else {
      request.set("Workspace", workspace);
    }
  }

  @Override
  public void address(HttpHeaders request, String target, long millisLeft) {
    request.set("Wait", millisLeft);
    request.set("For", target);
  }

  @Override
  public void answerTo(HttpHeaders answer, String requestId) {
    answer.set("Id", requestId);
  }

  @Override
  public @Nullable String answeredId(HttpHeaders answer) {
    return answer.get("Id");
  }

  @Override
  public boolean isNotRun(int status, HttpHeaders answer) {
    return isOtherTarget(status) || answer.contains("Not-Run");
  }

  @Override
  public boolean isOtherTarget(int status) {
    return status == 421;
  }

  @Override
  public boolean isGenuine(int status, HttpHeaders answer) {
    return status != 200 || answer.contains("Seal");
  }

  @Override
  public @Nullable LoadReport load(HttpHeaders answer) {
    return null;
  }
}
