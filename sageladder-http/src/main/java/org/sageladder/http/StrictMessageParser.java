package org.sageladder.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
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
  private final HeadLineValidator validator = new HeadLineValidator();

  private StrictMessageParser(NHttpMessageParser<T> parser) {
    this.parser = parser;
  }

  /** Returns a factory of parsers for responses. */
  static NHttpMessageParserFactory<HttpResponse> responses(Http1Config config) {
    return factory(new DefaultHttpResponseParserFactory(config));
  }

  /** Returns a factory of parsers for requests. */
  public static NHttpMessageParserFactory<HttpRequest> requests(Http1Config config) {
    return factory(new DefaultHttpRequestParserFactory(config));
  }

  private static <T extends HttpMessage> NHttpMessageParserFactory<T> factory(
      NHttpMessageParserFactory<T> parsers) {
    return () -> new StrictMessageParser<>(parsers.create());
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
