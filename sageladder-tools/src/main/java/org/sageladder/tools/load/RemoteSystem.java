package org.sageladder.tools.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.settings.SettingsSection;
import org.sageladder.tools.http.HttpAnswer;
import org.sageladder.tools.http.HttpCaller;
import org.sageladder.tools.load.Experiment.Fault;

/** A system whose processes run already; target stand-ins behind it are asked over HTTP. */
final class RemoteSystem implements SystemUnderTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<String> entries;
  private final List<URI> operators;
  private final List<TargetView> targets;
  private final HttpCaller caller;
  private final RemoteFaults faults;
  private final String customer;

  private RemoteSystem(Place place, List<TargetView> targets, HttpCaller caller, String customer) {
    this.entries = place.entries();
    this.operators = place.operators();
    this.targets = targets;
    this.caller = caller;
    this.customer = customer;
    this.faults = new RemoteFaults(customer, targets, place.store(), caller);
  }

  /**
   * Where the processes are.
   *
   * @param entries callers' ports of the entry VMs, {@code IP:PORT}
   * @param operators operators' ports of the entry VMs; may be empty
   * @param targets YAML list of the target stand-ins, or null
   * @param store store stand-in, or null
   */
  record Place(
      List<String> entries, List<URI> operators, @Nullable Path targets, @Nullable URI store) {}

  /** Joins running processes; each variant of an experiment meets the same ones. */
  static Provider provider(Place place) {
    return (contract, entriesPerZone, readyWithin) -> {
      HttpCaller caller = HttpCaller.withTimeout(TIMEOUT);
      try {
        List<TargetView> targets =
            place.targets() == null ? List.of() : targets(place.targets(), caller);
        return new RemoteSystem(place, targets, caller, contract.customer());
      } catch (SettingsException | IOException e) {
        caller.close();
        throw new IOException(e.getMessage(), e);
      }
    };
  }

  private static List<TargetView> targets(Path file, HttpCaller caller)
      throws SettingsException, IOException {
    List<TargetView> targets = new ArrayList<>();
    SettingsSection root = SettingsDocument.read(file).root("targets");
    for (SettingsSection section :
        root.sections("targets", "id", "service", "zone", "slots", "uri")) {
      RemoteTarget target =
          new RemoteTarget(
              section.text("id", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
              section.text("service", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
              section.text("zone", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
              section.wholeNumber("slots", 1, 10_000),
              URI.create(
                  section.text("uri", SettingPatterns.HTTP_URI, SettingPatterns.HTTP_URI_ALLOWED)),
              caller,
              0);
      targets.add(target.since(target.read().started()));
    }
    return targets;
  }

  /**
   * A target stand-in of another process.
   *
   * @param before requests that it had started before this variant, which do not count
   */
  private record RemoteTarget(
      String id,
      String service,
      String zone,
      int slots,
      URI address,
      HttpCaller caller,
      long before)
      implements TargetView {
    RemoteTarget since(long started) {
      return new RemoteTarget(id, service, zone, slots, address, caller, started);
    }

    @Override
    public Reading read() throws IOException {
      JsonNode load = json("/admin/state").path("load");
      long started = json("/admin/executions").path("total").asLong() - before;
      return new Reading(started, load.path("busy").asInt(), load.path("queued").asInt());
    }

    @Override
    public Map<String, Integer> executions() throws IOException {
      Map<String, Integer> counts = new HashMap<>();
      json("/admin/executions?keys").forEach(key -> counts.put(key.asText(), 1));
      for (Map.Entry<String, JsonNode> repeated :
          json("/admin/executions").path("repeated").properties()) {
        counts.put(repeated.getKey(), repeated.getValue().asInt());
      }
      return counts;
    }

    private JsonNode json(String path) throws IOException {
      HttpAnswer answer = caller.get(address.resolve(path));
      if (answer.status() != 200) {
        throw new IOException(address + path + ": status " + answer.status());
      }
      return JSON.readTree(answer.body());
    }
  }

  @Override
  public List<String> callerAddresses() {
    return entries;
  }

  @Override
  public List<URI> operators() {
    return operators;
  }

  @Override
  public List<TargetView> targets() {
    return targets;
  }

  @Override
  public String inject(Fault fault) throws IOException {
    return faults.inject(fault);
  }

  @Override
  public Map<String, Long> revisionsInForce() throws IOException {
    Map<String, Long> revisions = new TreeMap<>();
    for (URI uri : operators) {
      JsonNode state = JSON.readTree(caller.get(uri.resolve("/v1/state")).body());
      revisions.put(state.path("vm").asText(), state.path("revisions").path(customer).asLong());
    }
    return revisions;
  }

  @Override
  public void close() {
    faults.close();
    caller.close();
  }
}
