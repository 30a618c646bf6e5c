package org.sageladder.client;

import java.io.IOException;
import org.apache.hc.core5.http.HttpResponse;

/** A sink that decides by the head of a target's answer whether to take its body. */
interface PartSink extends BodySink {
  /**
   * False where the body is to be kept in memory instead.
   *
   * @throws IOException where the answer must not be used
   */
  boolean acceptsBody(HttpResponse response) throws IOException;
}
