package org.sageladder.entry.stop;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncPushProducer;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** Takes answers that nobody reads. */
final class NoAnswers implements ResponseChannel {
  @Override
  public void sendInformation(HttpResponse response, HttpContext context) {}

  @Override
  public void sendResponse(
      HttpResponse response, @Nullable EntityDetails details, HttpContext context) {}

  @Override
  public void pushPromise(HttpRequest promise, AsyncPushProducer producer, HttpContext context) {}
}
