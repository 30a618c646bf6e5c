package org.sageladder.scenario.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The metrics of an entry VM at one moment.
 *
 * <pre>{@code
 * VmFigures.read("127.1.0.2:14003").value("rules_version");
 * }</pre>
 */
final class VmFigures {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final HttpClient CLIENT = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  private final String text;

  private VmFigures(String text) {
    this.text = text;
  }

  /**
   * Reads the metrics.
   *
   * @param address host and port of the metrics
   * @throws IOException if the VM does not answer
   */
  static VmFigures read(String address) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/metrics"))
            .timeout(TIMEOUT)
            .build();
    return new VmFigures(
        CLIENT.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)).body());
  }

  /** The value of a counter or gauge, empty if the VM has none of that name. */
  OptionalLong value(String name) {
    Matcher line = Pattern.compile("(?m)^sageladder_" + name + " (-?[0-9]+)$").matcher(text);
    return line.find() ? OptionalLong.of(Long.parseLong(line.group(1))) : OptionalLong.empty();
  }
}
