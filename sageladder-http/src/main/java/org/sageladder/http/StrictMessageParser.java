package org.sageladder.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.NHttpMessageParserFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Parses the heads of messages and rejects those with a folded line, a header name that is no token
 * or a control character, which the library accepts.
 */
public final class StrictMessageParser<T extends HttpMessage> implements NHttpMessageParser<T> {
  private final NHttpMessageParser<T> parser;
  private final HeadLineValidator validator;

  private StrictMessageParser(NHttpMessageParser<T> parser, int maxHeadBytes) {
    this.parser = parser;
    this.validator = new HeadLineValidator(maxHeadBytes);
  }

  /** Returns a factory of parsers for responses. */
  static NHttpMessageParserFactory<HttpResponse> responses(Http1Config config) {
    return factory(new DefaultHttpResponseParserFactory(config), Integer.MAX_VALUE);
  }

  /**
   * Returns a factory of parsers for requests.
   *
   * @param maxHeadBytes limit on all lines of a head together
   */
  public static NHttpMessageParserFactory<HttpRequest> requests(
      Http1Config config, int maxHeadBytes) {
    return factory(new DefaultHttpRequestParserFactory(config), maxHeadBytes);
  }

  private static <T extends HttpMessage> NHttpMessageParserFactory<T> factory(
      NHttpMessageParserFactory<T> parsers, int maxHeadBytes) {
    return () -> new StrictMessageParser<>(parsers.create(), maxHeadBytes);
  }

  /**
   * Parses what was received of a head.
   *
   * @return the message, or null if its head is not complete yet
   * @throws ProtocolException if the head is malformed
   */
  @Override
  public @Nullable T parse(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    T message = parser.parse(new LineObservingBuffer(buffer, validator::check), endOfStream);
    String fault = validator.fault();
    if (fault != null) {
      throw new ProtocolException(fault);
    }
    if (validator.isTooLarge()) {
      throw new MessageConstraintException("the head is too large");
    }
    if (message != null) {
      validator.reset();
    }
    return message;
  }

  @Override
  public void reset() {
    parser.reset();
    validator.reset();
  }
}
