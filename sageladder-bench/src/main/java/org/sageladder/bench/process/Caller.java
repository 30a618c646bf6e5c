package org.sageladder.bench.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller that uses a different HTTP library than the system, so that a bug that both ends share
 * cannot go unnoticed.
 */
public final class Caller {
  private static final Pattern ADDRESS = Pattern.compile("\"address\":\"[0-9.]+:([0-9]+)\"");

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  private Caller() {}

  /** Creates a caller with its own connection pool. */
  public static Caller create() {
    return new Caller();
  }

  /**
   * Sends one request; {@link Reply#hasNoAnswer} if no complete response arrived before the
   * timeout.
   *
   * @param permit sealed permit, or empty if there is none
   */
  public Reply send(
      int port,
      String method,
      String service,
      String path,
      byte[] body,
      String permit,
      Duration deadline,
      Duration timeout)
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
            .timeout(timeout)
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
    } catch (ConnectException | HttpConnectTimeoutException e) {
      return Reply.REFUSED;
    } catch (HttpTimeoutException e) {
      return Reply.TIMEOUT;
    } catch (IOException e) {
      return Reply.CUT;
    }
  }

  /** Ports of the entry VMs in the answer to a look-up, best first; empty if the look-up failed. */
  public List<Integer> lookUp(int port, String service, int block) throws InterruptedException {
    URI uri =
        URI.create(
            "http://127.0.0.1:"
                + port
                + "/v1/look-up?contract="
                + TestBed.CUSTOMER
                + "&service="
                + service
                + "&block="
                + block);
    List<Integer> ports = new ArrayList<>();
    try {
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build(),
              HttpResponse.BodyHandlers.ofString());
      Matcher address = ADDRESS.matcher(response.body());
      while (address.find()) {
        ports.add(Integer.parseInt(address.group(1)));
      }
    } catch (IOException e) {
      return List.of();
    }
    return ports;
  }
}
