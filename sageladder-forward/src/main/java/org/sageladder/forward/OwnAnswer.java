package org.sageladder.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.sageladder.core.result.ResultCode;

/**
 * An answer of sageladder's own, without a body.
 *
 * @param status HTTP status; mostly the code's own
 * @param retryMillis when the caller may come back, or 0 where that is not said
 * @param close true where the connection ends with it
 */
record OwnAnswer(ResultCode code, int status, long retryMillis, boolean close) {
  private static final String RESULT = "Sageladder-Result";
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The answer to the request of that id, which may be empty. */
  FullHttpResponse to(String requestId, Dialect dialect) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    HttpHeaders headers = answer.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
    headers.set(RESULT, code.number());
    if (!requestId.isEmpty()) {
      dialect.answerTo(headers, requestId);
    }
    if (retryMillis > 0) {
      double seconds = retryMillis / MILLIS_PER_SECOND;
      headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
    }
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, "close");
    }
    return answer;
  }
}
