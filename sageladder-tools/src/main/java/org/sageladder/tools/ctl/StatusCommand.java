package org.sageladder.tools.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.http.BufferedHttpResponse;

/**
 * {@code status}: shows which contract revision is in force at the queried entry VMs and, as
 * reported by the relays, in every zone. With {@code --wait}, waits until the given revision is in
 * force everywhere.
 */
final class StatusCommand {
  static final String WAIT = "wait";
  static final String WITHIN = "within";

  private static final String LATEST = "latest";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration DEFAULT_WITHIN = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

  private final Invocation invocation;
  private final BlockingHttpClient client;
  private final Map<String, Long> acceptedRevisions;
  private final @Nullable Long wantedRevision;

  private StatusCommand(
      Invocation invocation,
      BlockingHttpClient client,
      Map<String, Long> acceptedRevisions,
      @Nullable Long wantedRevision) {
    this.invocation = invocation;
    this.client = client;
    this.acceptedRevisions = acceptedRevisions;
    this.wantedRevision = wantedRevision;
  }

  /** The answer of one entry VM; {@code state} is null if it did not answer. */
  private record StateResponse(URI uri, @Nullable JsonNode state, String error) {}

  static ExitCode run(Invocation invocation) throws CtlException {
    Long wantedRevision = wantedRevision(invocation);
    Map<String, Long> acceptedRevisions = acceptedRevisions(invocation);
    if (LATEST.equals(invocation.option(WAIT)) && acceptedRevisions.isEmpty()) {
      throw Invocation.usage("--wait latest needs a store that holds a contract; give --store URI");
    }
    Duration within = invocation.duration(WITHIN, DEFAULT_WITHIN);
    acceptedRevisions.forEach(
        (customer, revision) ->
            invocation.out().println("store: " + customer + " at revision " + revision));
    try (BlockingHttpClient client = BlockingHttpClient.withTimeout(invocation.timeout())) {
      StatusCommand status =
          new StatusCommand(invocation, client, acceptedRevisions, wantedRevision);
      return invocation.option(WAIT) == null ? status.printOnce() : status.awaitInForce(within);
    }
  }

  /**
   * Returns the revision to wait for, or null for the store's latest revision or without {@code
   * --wait}.
   */
  private static @Nullable Long wantedRevision(Invocation invocation) throws CtlException {
    String text = invocation.option(WAIT);
    if (text == null || text.equals(LATEST)) {
      return null;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw Invocation.usage(
          "--wait '" + text + "' is not allowed; give a revision or '" + LATEST + "'");
    }
  }

  private ExitCode printOnce() throws CtlException {
    List<StateResponse> responses = fetchStates(invocation.operators());
    List<String> lagging = findLagging(responses);
    responses.forEach(this::print);
    printZones(responses, invocation.out());
    return lagging.isEmpty() ? ExitCode.OK : ExitCode.VERDICT_FAILED;
  }

  private ExitCode awaitInForce(Duration within) throws CtlException {
    List<URI> operators = invocation.requiredOperators();
    long startNanos = System.nanoTime();
    while (true) {
      List<StateResponse> responses = fetchStates(operators);
      List<String> lagging = findLagging(responses);
      if (lagging.isEmpty()) {
        printZones(responses, invocation.out());
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        invocation.out().println("in force everywhere after " + millis + " ms");
        return ExitCode.OK;
      }
      if (System.nanoTime() - startNanos >= within.toNanos()) {
        printZones(responses, invocation.out());
        lagging.forEach(line -> invocation.err().println("lags: " + line));
        boolean noneAnswered = responses.stream().allMatch(response -> response.state() == null);
        return noneAnswered ? ExitCode.UNAVAILABLE : ExitCode.VERDICT_FAILED;
      }
      sleepPollInterval();
    }
  }

  private List<StateResponse> fetchStates(List<URI> operators) {
    List<StateResponse> responses = new ArrayList<>();
    for (URI uri : operators) {
      try {
        responses.add(new StateResponse(uri, parseJson(client.get(uri.resolve("/v1/state"))), ""));
      } catch (IOException e) {
        responses.add(new StateResponse(uri, null, String.valueOf(e.getMessage())));
      }
    }
    return responses;
  }

  /**
   * Returns a line for each queried entry VM and each zone that lags, does not answer or has not
   * reported its revision.
   */
  private List<String> findLagging(List<StateResponse> responses) {
    List<String> lagging = new ArrayList<>();
    for (StateResponse response : responses) {
      JsonNode state = response.state();
      if (state == null) {
        lagging.add(response.uri().getAuthority() + ": no answer (" + response.error() + ")");
        continue;
      }
      if (state.path("revisions").isEmpty()) {
        lagging.add(vmName(response, state) + ": no contract in force");
      }
      for (Map.Entry<String, JsonNode> revision : state.path("revisions").properties()) {
        long inForce = revision.getValue().asLong();
        long required = requiredRevision(revision.getKey(), inForce);
        if (inForce < required) {
          lagging.add(vmName(response, state) + ": at " + inForce + ", not " + required);
        }
      }
    }
    latestReportsByZone(responses).forEach((zone, report) -> addIfLagging(zone, report, lagging));
    return lagging;
  }

  private void addIfLagging(String zone, JsonNode report, List<String> lagging) {
    if (!report.has("lowestRevision")) {
      lagging.add("zone " + zone + ": no report of its revision yet");
      return;
    }
    long lowest = report.path("lowestRevision").asLong();
    long required = requiredRevision(report.path("customer").asText(), lowest);
    if (lowest < required) {
      lagging.add(formatZone(zone, report) + ", not " + required);
    }
  }

  /**
   * Returns the revision that must be in force; {@code inForce} if neither {@code --wait} nor the
   * store gives one.
   */
  private long requiredRevision(String customer, long inForce) {
    return wantedRevision != null
        ? wantedRevision
        : acceptedRevisions.getOrDefault(customer, inForce);
  }

  /**
   * Returns the latest report of each zone that appears in the state of any queried entry VM; zones
   * without a report map to an empty object.
   */
  private static Map<String, JsonNode> latestReportsByZone(List<StateResponse> responses) {
    Map<String, JsonNode> zones = new TreeMap<>();
    for (StateResponse response : responses) {
      JsonNode state = response.state();
      if (state == null) {
        continue;
      }
      state
          .path("views")
          .properties()
          .forEach(view -> zones.putIfAbsent(view.getKey(), JSON.createObjectNode()));
      for (Map.Entry<String, JsonNode> zone : state.path("zones").properties()) {
        zones.merge(zone.getKey(), zone.getValue(), StatusCommand::newerReport);
      }
    }
    return zones;
  }

  private static JsonNode newerReport(JsonNode left, JsonNode right) {
    boolean isRightNewer =
        right.path("takenAtMillis").asLong() > left.path("takenAtMillis").asLong();
    return isRightNewer ? right : left;
  }

  private static void printZones(List<StateResponse> responses, PrintStream out) {
    Map<String, JsonNode> zones = latestReportsByZone(responses);
    zones.values().removeIf(report -> !report.has("lowestRevision"));
    zones.forEach((zone, report) -> out.println(formatZone(zone, report)));
    zones.entrySet().stream()
        .min((a, b) -> Long.compare(lowestRevision(a.getValue()), lowestRevision(b.getValue())))
        .ifPresent(
            entry ->
                out.println(
                    "lowest revision in force: "
                        + lowestRevision(entry.getValue())
                        + ", in "
                        + entry.getKey()));
  }

  private static long lowestRevision(JsonNode report) {
    return report.path("lowestRevision").asLong();
  }

  private static String formatZone(String zone, JsonNode report) {
    StringBuilder line = new StringBuilder("zone ").append(zone);
    line.append(": lowest revision ").append(lowestRevision(report));
    line.append(" at ").append(report.path("members").asInt()).append(" entry VMs");
    line.append(", reported ").append(report.path("ageMillis").asLong()).append(" ms ago");
    List<String> lagging = new ArrayList<>();
    report.path("lagging").forEach(vm -> lagging.add(vm.asText()));
    if (!lagging.isEmpty()) {
      line.append(", behind its relay: ").append(String.join(", ", lagging));
    }
    return line.toString();
  }

  private void print(StateResponse response) {
    PrintStream out = invocation.out();
    JsonNode state = response.state();
    if (state == null) {
      out.println(response.uri().getAuthority() + ": no answer (" + response.error() + ")");
      return;
    }
    StringBuilder line = new StringBuilder(vmName(response, state));
    line.append(": ").append(state.path("readiness").asText("?"));
    for (Map.Entry<String, JsonNode> revision : state.path("revisions").properties()) {
      long inForce = revision.getValue().asLong();
      line.append(", ").append(revision.getKey()).append(" at ").append(inForce);
      long required = requiredRevision(revision.getKey(), inForce);
      if (required != inForce) {
        line.append(" (store has ").append(required).append(")");
      }
    }
    for (Map.Entry<String, JsonNode> view : state.path("views").properties()) {
      JsonNode zone = view.getValue();
      line.append(", ").append(view.getKey()).append(" view ").append(zone.path("number").asText());
      line.append(" of ").append(zone.path("members").size());
    }
    out.println(line);
    state.path("gates").properties().forEach(gate -> out.println(formatGate(gate)));
  }

  private static String formatGate(Map.Entry<String, JsonNode> gate) {
    JsonNode numbers = gate.getValue();
    return "  "
        + gate.getKey()
        + ": "
        + numbers.path("busy").asInt()
        + " of "
        + numbers.path("slots").asInt()
        + " slots busy, "
        + numbers.path("queued").asInt()
        + " waiting";
  }

  private static String vmName(StateResponse response, JsonNode state) {
    return state.path("vm").asText(response.uri().getAuthority());
  }

  private static Map<String, Long> acceptedRevisions(Invocation invocation) throws CtlException {
    Map<String, Long> revisions = new TreeMap<>();
    if (invocation.option(Invocation.STORE) == null
        && System.getenv(Invocation.STORE_ENVIRONMENT_VARIABLE) == null) {
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

  private static void sleepPollInterval() throws CtlException {
    try {
      Thread.sleep(POLL_INTERVAL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CtlException(ExitCode.INTERNAL, "interrupted while waiting");
    }
  }

  private static JsonNode parseJson(BufferedHttpResponse response) throws IOException {
    if (response.status() != 200) {
      throw new IOException("status " + response.status());
    }
    return JSON.readTree(response.body());
  }
}
