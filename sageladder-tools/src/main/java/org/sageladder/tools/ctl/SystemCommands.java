package org.sageladder.tools.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.ContentType;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.tools.http.HttpAnswer;
import org.sageladder.tools.http.HttpCaller;
import org.sageladder.tools.timeline.EventFilter;
import org.sageladder.tools.timeline.ProcessEvents;
import org.sageladder.tools.timeline.TimeLine;
import org.sageladder.tools.timeline.TimeLineFormat;
import org.sageladder.tools.timeline.TimeLineMain;

/** The commands that ask or tell running entry VMs. */
final class SystemCommands {
  static final String WAIT = "wait";
  static final String CONTRACT = "contract";
  static final String SERVICE = "service";
  static final String BLOCK = "block";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration DEFAULT_DRAIN_WAIT = Duration.ofMinutes(2);
  private static final Duration DRAIN_POLL = Duration.ofMillis(200);

  private SystemCommands() {}

  /** Revisions in the store beside those in force at each entry VM; differing is a verdict. */
  static ExitCode status(Invocation invocation) throws CtlException {
    Map<String, Long> accepted = acceptedRevisions(invocation);
    accepted.forEach(
        (customer, revision) ->
            invocation.out().println("store: " + customer + " at revision " + revision));
    boolean alike = true;
    try (HttpCaller caller = HttpCaller.withTimeout(invocation.timeout())) {
      for (URI uri : invocation.operators()) {
        alike &= status(uri, caller, accepted, invocation.out());
      }
    }
    return alike ? ExitCode.OK : ExitCode.VERDICT_FAILED;
  }

  private static boolean status(
      URI uri, HttpCaller caller, Map<String, Long> accepted, PrintStream out) {
    JsonNode state;
    try {
      state = json(caller.get(uri.resolve("/v1/state")));
    } catch (IOException e) {
      out.println(uri.getAuthority() + ": no answer (" + e.getMessage() + ")");
      return false;
    }
    boolean alike = true;
    StringBuilder line = new StringBuilder(state.path("vm").asText(uri.getAuthority()));
    line.append(": ").append(state.path("readiness").asText("?"));
    for (Map.Entry<String, JsonNode> revision : state.path("revisions").properties()) {
      String customer = revision.getKey();
      long inForce = revision.getValue().asLong();
      line.append(", ").append(customer).append(" at ").append(inForce);
      long wanted = accepted.getOrDefault(customer, inForce);
      if (wanted != inForce) {
        line.append(" (store has ").append(wanted).append(")");
        alike = false;
      }
    }
    for (Map.Entry<String, JsonNode> view : state.path("views").properties()) {
      JsonNode zone = view.getValue();
      line.append(", ").append(view.getKey()).append(" view ").append(zone.path("number").asText());
      line.append(" of ").append(zone.path("members").size());
    }
    out.println(line);
    for (Map.Entry<String, JsonNode> gate : state.path("gates").properties()) {
      JsonNode numbers = gate.getValue();
      out.println(
          "  "
              + gate.getKey()
              + ": "
              + numbers.path("busy").asInt()
              + " of "
              + numbers.path("slots").asInt()
              + " slots busy, "
              + numbers.path("queued").asInt()
              + " waiting");
    }
    return alike;
  }

  private static Map<String, Long> acceptedRevisions(Invocation invocation) throws CtlException {
    Map<String, Long> revisions = new TreeMap<>();
    if (invocation.option(Invocation.STORE) == null
        && System.getenv(Invocation.STORE_VARIABLE) == null) {
      return revisions;
    }
    try (Store store = invocation.store()) {
      for (StoredValue value : store.list(StoredContract.KEY_PREFIX)) {
        revisions.put(value.key().substring(StoredContract.KEY_PREFIX.length()), value.revision());
      }
      return revisions;
    } catch (StoreException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, "the store cannot be read: " + e.getMessage());
    }
  }

  /** Begins a planned stop of each named entry VM, one after the other, and waits for its end. */
  static ExitCode drain(Invocation invocation) throws CtlException {
    Duration wait = invocation.duration(WAIT, DEFAULT_DRAIN_WAIT);
    try (HttpCaller caller = HttpCaller.withTimeout(invocation.timeout())) {
      for (URI uri : invocation.requiredOperators()) {
        drain(uri, caller, wait, invocation.out());
      }
    }
    return ExitCode.OK;
  }

  private static void drain(URI uri, HttpCaller caller, Duration wait, PrintStream out)
      throws CtlException {
    long started = System.nanoTime();
    try {
      HttpAnswer answer =
          caller.post(uri.resolve("/v1/drain"), new byte[0], ContentType.APPLICATION_JSON);
      if (answer.status() / 100 != 2) {
        throw new CtlException(
            ExitCode.UNAVAILABLE,
            uri.getAuthority() + ": refused with status " + answer.status() + " " + answer.text());
      }
    } catch (IOException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, e.getMessage());
    }
    while (System.nanoTime() - started < wait.toNanos()) {
      if (hasEnded(uri, caller)) {
        long millis = (System.nanoTime() - started) / 1_000_000;
        out.println(uri.getAuthority() + ": drained and stopped after " + millis + " ms");
        return;
      }
      pause();
    }
    throw new CtlException(
        ExitCode.VERDICT_FAILED,
        uri.getAuthority() + ": still draining after " + wait.toSeconds() + " s");
  }

  /** A process that has ended refuses connections; that it was there is known from the drain. */
  private static boolean hasEnded(URI uri, HttpCaller caller) {
    try {
      caller.get(uri.resolve("/v1/state"));
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void pause() throws CtlException {
    try {
      Thread.sleep(DRAIN_POLL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CtlException(ExitCode.INTERNAL, "interrupted while waiting");
    }
  }

  /** Why a request went where it did, or what a look-up would answer now and by which rule. */
  static ExitCode explain(Invocation invocation) throws CtlException {
    if (invocation.operands().isEmpty()) {
      return explainLookUp(invocation);
    }
    String request = invocation.operand(0);
    List<ProcessEvents> fetched =
        TimeLineMain.fetch(invocation.requiredOperators(), invocation.err());
    if (fetched.isEmpty()) {
      throw new CtlException(ExitCode.UNAVAILABLE, "no entry VM answered");
    }
    TimeLine line = TimeLine.merge(fetched);
    if (line.entries(EventFilter.request(request)).isEmpty()) {
      throw new CtlException(
          ExitCode.NOT_FOUND,
          "no event about request '"
              + request
              + "' ("
              + line.lost()
              + " events were lost in these processes)");
    }
    invocation.out().print(TimeLineFormat.text().write(line, EventFilter.request(request)));
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
    try (HttpCaller caller = HttpCaller.withTimeout(invocation.timeout())) {
      HttpAnswer answer = caller.get(uri.resolve(query));
      invocation.out().println(answer.text().strip());
      return answer.status() == 200 ? ExitCode.OK : ExitCode.NOT_FOUND;
    } catch (IOException e) {
      throw new CtlException(ExitCode.UNAVAILABLE, e.getMessage());
    }
  }

  private static String encoded(Invocation invocation, String name) {
    String value = invocation.option(name);
    return URLEncoder.encode(value == null ? "" : value, StandardCharsets.UTF_8);
  }

  private static JsonNode json(HttpAnswer answer) throws IOException {
    if (answer.status() != 200) {
      throw new IOException("status " + answer.status());
    }
    return JSON.readTree(answer.body());
  }
}
