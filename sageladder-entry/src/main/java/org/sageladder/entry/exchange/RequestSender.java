package org.sageladder.entry.exchange;

import java.time.Duration;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Sends requests to targets and to other entry VMs. */
public interface RequestSender {
  /** Receives the events of one request; each method is called at most once, from an I/O thread. */
  public interface Listener {
    /** The head of the response has arrived; {@code body} streams the rest. */
    void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body);

    /** The complete response was read. */
    void onComplete();

    /**
     * The request failed.
     *
     * @param isSent false only where no byte of the request was given to the connection
     */
    void onFailure(boolean isSent, Exception cause);
  }

  /**
   * Sends one request.
   *
   * @return cancels the exchange and closes its connection, so that a late response is never read
   *     as the response to another request
   */
  Runnable send(
      HttpHost host,
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      Duration connectTimeout,
      Listener listener);
}
