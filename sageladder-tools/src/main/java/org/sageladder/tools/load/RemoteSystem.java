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
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.http.BufferedHttpResponse;
import org.sageladder.tools.load.Experiment.Fault;

/** A system whose processes are already running; its target stand-ins are queried over HTTP. */
final class RemoteSystem implements SystemUnderTest {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<String> callerAddresses;
  private final List<URI> operatorAddresses;
  private final List<TargetView> targets;
  private final BlockingHttpClient client;
  private final RemoteFaults faults;
  private final String customer;

  private RemoteSystem(
      Endpoints endpoints, List<TargetView> targets, BlockingHttpClient client, String customer) {
    this.callerAddresses = endpoints.callerAddresses();
    this.operatorAddresses = endpoints.operatorAddresses();
    this.targets = targets;
    this.client = client;
    this.customer = customer;
    this.faults = new RemoteFaults(customer, targets, endpoints.storeUri(), client);
  }

  /**
   * Addresses of the running processes.
   *
   * @param callerAddresses addresses of the entry VMs' callers' ports, {@code IP:PORT}
   * @param operatorAddresses base URIs of the entry VMs' operators' ports; may be empty
   * @param targetsFile YAML file that lists the target stand-ins, or null
   * @param storeUri base URI of the store stand-in, or null
   */
  record Endpoints(
      List<String> callerAddresses,
      List<URI> operatorAddresses,
      @Nullable Path targetsFile,
      @Nullable URI storeUri) {}

  /**
   * Returns a provider that connects to running processes; all variants of an experiment share
   * them.
   */
  static Provider provider(Endpoints endpoints) {
    return (contract, entriesPerZone, readyWithin) -> {
      BlockingHttpClient client = BlockingHttpClient.withTimeout(CALL_TIMEOUT);
      try {
        List<TargetView> targets =
            endpoints.targetsFile() == null
                ? List.of()
                : readTargets(endpoints.targetsFile(), client);
        return new RemoteSystem(endpoints, targets, client, contract.customer());
      } catch (SettingsException | IOException e) {
        client.close();
        throw new IOException(e.getMessage(), e);
      }
    };
  }

  private static List<TargetView> readTargets(Path file, BlockingHttpClient client)
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
              client,
              0);
      targets.add(target.withStartedBefore(target.read().started()));
    }
    return targets;
  }

  /**
   * A target stand-in in another process.
   *
   * @param startedBefore number of requests started before this variant, which are subtracted from
   *     the readings
   */
  private record RemoteTarget(
      String id,
      String service,
      String zone,
      int slots,
      URI address,
      BlockingHttpClient client,
      long startedBefore)
      implements TargetView {
    RemoteTarget withStartedBefore(long startedBefore) {
      return new RemoteTarget(id, service, zone, slots, address, client, startedBefore);
    }

    @Override
    public Reading read() throws IOException {
      JsonNode load = fetchJson("/admin/state").path("load");
      long started = fetchJson("/admin/executions").path("total").asLong() - startedBefore;
      return new Reading(started, load.path("busy").asInt(), load.path("queued").asInt());
    }

    @Override
    public Map<String, Integer> executions() throws IOException {
      Map<String, Integer> counts = new HashMap<>();
      fetchJson("/admin/executions?keys").forEach(key -> counts.put(key.asText(), 1));
      for (Map.Entry<String, JsonNode> repeated :
          fetchJson("/admin/executions").path("repeated").properties()) {
        counts.put(repeated.getKey(), repeated.getValue().asInt());
      }
      return counts;
    }

    private JsonNode fetchJson(String path) throws IOException {
      BufferedHttpResponse response = client.get(address.resolve(path));
      if (response.status() != 200) {
        throw new IOException(address + path + ": status " + response.status());
      }
      return JSON.readTree(response.body());
    }
  }

  @Override
  public List<String> callerAddresses() {
    return callerAddresses;
  }

  @Override
  public List<URI> operatorAddresses() {
    return operatorAddresses;
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
    for (URI uri : operatorAddresses) {
      JsonNode state = JSON.readTree(client.get(uri.resolve("/v1/state")).body());
      revisions.put(state.path("vm").asText(), state.path("revisions").path(customer).asLong());
    }
    return revisions;
  }

  @Override
  public void close() {
    faults.close();
    client.close();
  }
}
