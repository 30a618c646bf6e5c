package org.sageladder.client;

import java.io.IOException;
import org.apache.hc.core5.http.HttpResponse;

/**
 * A sink that decides from the status and headers of a target's response whether to receive its
 * body.
 */
interface PartSink extends BodySink {
  /**
   * Returns false if the body is to be buffered in memory instead.
   *
   * @throws IOException if the response must not be used
   */
  boolean acceptsBody(HttpResponse response) throws IOException;
}
