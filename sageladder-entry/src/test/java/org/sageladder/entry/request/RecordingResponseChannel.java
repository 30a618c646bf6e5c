package org.sageladder.entry.request;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncPushProducer;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** A caller's connection that records the heads of the responses written to it. */
public final class RecordingResponseChannel implements ResponseChannel {
  private final List<HttpResponse> heads = new ArrayList<>();

  /** The value of header {@code name} in each response, in order. */
  public List<String> headers(String name) {
    return heads.stream().map(head -> head.getFirstHeader(name).getValue()).toList();
  }

  @Override
  public void sendInformation(HttpResponse response, HttpContext context) {}

  @Override
  public void sendResponse(
      HttpResponse response, @Nullable EntityDetails details, HttpContext context) {
    heads.add(response);
  }

  @Override
  public void pushPromise(HttpRequest promise, AsyncPushProducer producer, HttpContext context) {}
}
