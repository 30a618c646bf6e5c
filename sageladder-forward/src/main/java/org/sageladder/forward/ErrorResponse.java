package org.sageladder.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.util.Optional;
import org.sageladder.core.result.ResultCode;

/**
 * A response without a body that sageladder itself creates.
 *
 * @param status HTTP status; usually that of {@code code}
 * @param retryAfterMillis suggested retry delay, or 0 to suggest none
 * @param closesConnection true if the connection is closed after this response
 */
record ErrorResponse(ResultCode code, int status, long retryAfterMillis, boolean closesConnection) {
  private static final String RESULT_HEADER = "Sageladder-Result";

  /** The code of an error response that an entry VM created; empty for any other response. */
  static Optional<ResultCode> codeOf(HttpHeaders response) {
    String number = response.get(RESULT_HEADER);
    try {
      return number == null ? Optional.empty() : ResultCode.ofNumber(Integer.parseInt(number));
    } catch (NumberFormatException ignored) {
      // A response with another value was not created by an entry VM.
      return Optional.empty();
    }
  }

  /** Builds the response to the request of that id, which may be empty. */
  FullHttpResponse toHttpResponse(String requestId, Dialect dialect) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
    headers.set(RESULT_HEADER, code.number());
    if (!requestId.isEmpty()) {
      dialect.addRequestId(headers, requestId);
    }
    if (retryAfterMillis > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf(retryAfterMillis, 3).toString());
    }
    if (closesConnection) {
      headers.set(HttpHeaderNames.CONNECTION, "close");
    }
    return response;
  }
}
