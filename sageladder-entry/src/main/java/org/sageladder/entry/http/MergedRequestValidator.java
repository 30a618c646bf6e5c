package org.sageladder.entry.http;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestInterceptor;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.message.MergedRequests;

/** Rejects the head of a request that consists of a part of a request and of the next one. */
final class MergedRequestValidator implements HttpRequestInterceptor {
  @Override
  public void process(HttpRequest request, @Nullable EntityDetails entity, HttpContext context)
      throws ProtocolException {
    if (MergedRequests.isMergedMethod(request.getMethod())) {
      throw new ProtocolException("bytes before the method");
    }
    for (Header header : request.getHeaders()) {
      if (header.getValue() != null && MergedRequests.isMergedHeader(header.getValue())) {
        throw new ProtocolException("a second request line among the headers");
      }
    }
  }
}
