package org.sageladder.tools.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.apache.hc.core5.http.ContentType;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.http.BufferedHttpResponse;
import org.sageladder.tools.timeline.EventFilter;
import org.sageladder.tools.timeline.ProcessEvents;
import org.sageladder.tools.timeline.TimeLine;
import org.sageladder.tools.timeline.TimeLineFormat;
import org.sageladder.tools.timeline.TimeLineMain;

/** The commands that query or control running entry VMs. */
final class SystemCommands {
  static final String WAIT = "wait";
  static final String CONTRACT = "contract";
  static final String SERVICE = "service";
  static final String BLOCK = "block";

  private static final Duration DEFAULT_DRAIN_WAIT = Duration.ofMinutes(2);
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(200);

  private SystemCommands() {}

  /** Starts a planned stop of each given entry VM, one after the other, and waits for it to end. */
  static ExitCode drain(Invocation invocation) throws CtlException {
    Duration wait = invocation.duration(WAIT, DEFAULT_DRAIN_WAIT);
    try (BlockingHttpClient client = BlockingHttpClient.withTimeout(invocation.timeout())) {
      for (URI uri : invocation.requiredOperators()) {
        drain(uri, client, wait, invocation.out());
      }
    }
    return ExitCode.OK;
  }

  private static void drain(URI uri, BlockingHttpClient client, Duration wait, PrintStream out)
      throws CtlException {
    long started = System.nanoTime();
    try {
      BufferedHttpResponse response =
          client.post(uri.resolve("/v1/drain"), new byte[0], ContentType.APPLICATION_JSON);
      if (response.status() / 100 != 2) {
        throw new CtlException(
            ExitCode.UNAVAILABLE,
            uri.getAuthority()
                + ": refused with status "
                + response.status()
                + " "
                + response.text());
      }
    } catch (IOException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, e.getMessage());
    }
    while (System.nanoTime() - started < wait.toNanos()) {
      if (hasEnded(uri, client)) {
        long millis = (System.nanoTime() - started) / 1_000_000;
        out.println(uri.getAuthority() + ": drained and stopped after " + millis + " ms");
        return;
      }
      sleepPollInterval();
    }
    throw new CtlException(
        ExitCode.VERDICT_FAILED,
        uri.getAuthority() + ": still draining after " + wait.toSeconds() + " s");
  }

  /**
   * Returns true if the process no longer answers. It was running before, since it accepted the
   * drain request.
   */
  private static boolean hasEnded(URI uri, BlockingHttpClient client) {
    try {
      client.get(uri.resolve("/v1/state"));
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void sleepPollInterval() throws CtlException {
    try {
      Thread.sleep(DRAIN_POLL_INTERVAL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CtlException(ExitCode.INTERNAL, "interrupted while waiting");
    }
  }

  /** Explains how a request was routed, or what a look-up would answer now and by which rule. */
  static ExitCode explain(Invocation invocation) throws CtlException {
    if (invocation.operands().isEmpty()) {
      return explainLookUp(invocation);
    }
    String request = invocation.operand(0);
    List<ProcessEvents> fetched =
        TimeLineMain.fetchAll(invocation.requiredOperators(), invocation.err());
    if (fetched.isEmpty()) {
      throw new CtlException(ExitCode.UNAVAILABLE, "no entry VM answered");
    }
    TimeLine timeLine = TimeLine.merge(fetched);
    if (timeLine.entries(EventFilter.request(request)).isEmpty()) {
      throw new CtlException(
          ExitCode.NOT_FOUND,
          "no event about request '"
              + request
              + "' ("
              + timeLine.lostCount()
              + " events were lost in these processes)");
    }
    invocation.out().print(TimeLineFormat.text().write(timeLine, EventFilter.request(request)));
    return ExitCode.OK;
  }

  private static ExitCode explainLookUp(Invocation invocation) throws CtlException {
    for (String name : List.of(CONTRACT, SERVICE, BLOCK)) {
      if (invocation.option(name) == null) {
        throw Invocation.usage("give a request's id, or --contract, --service and --block");
      }
    }
    URI uri = invocation.requiredOperators().get(0);
    String query =
        "/v1/explain?contract="
            + encoded(invocation, CONTRACT)
            + "&service="
            + encoded(invocation, SERVICE)
            + "&block="
            + encoded(invocation, BLOCK);
    try (BlockingHttpClient client = BlockingHttpClient.withTimeout(invocation.timeout())) {
      BufferedHttpResponse response = client.get(uri.resolve(query));
      invocation.out().println(response.text().strip());
      return response.status() == 200 ? ExitCode.OK : ExitCode.NOT_FOUND;
    } catch (IOException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, e.getMessage());
    }
  }

  private static String encoded(Invocation invocation, String name) {
    String value = invocation.option(name);
    return URLEncoder.encode(value == null ? "" : value, StandardCharsets.UTF_8);
  }
}
