package org.sageladder.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
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
      headers.set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf(retryMillis, 3).toString());
    }
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, "close");
    }
    return answer;
  }
}
