package org.sageladder.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * A caller that uses another HTTP library than the system does, so that a fault of the one library
 * cannot hide the same fault of the other.
 */
public final class Caller {
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  private Caller() {}

  /** A caller with connections of its own. */
  public static Caller create() {
    return new Caller();
  }

  /**
   * Sends one request; {@link Reply#NONE} where no whole answer came in time.
   *
   * @param permit sealed permit, or empty
   */
  public Reply send(
      int port,
      String method,
      String service,
      String path,
      byte[] body,
      String permit,
      Duration deadline,
      Duration patience)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:"
                        + port
                        + "/v1/request/"
                        + TestBed.CUSTOMER
                        + "/"
                        + service
                        + path))
            .timeout(patience)
            .header("Sageladder-Deadline-Millis", Long.toString(deadline.toMillis()))
            .method(
                method,
                body.length == 0
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body));
    if (!permit.isEmpty()) {
      request.header("Sageladder-Permit", permit);
    }
    try {
      return Reply.of(client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray()));
    } catch (IOException e) {
      return Reply.NONE;
    }
  }
}
