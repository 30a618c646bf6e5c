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
import org.apache.hc.core5.http.ContentType;
import org.sageladder.platform.settings.Names;
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

  private RemoteSystem(
      List<String> entries, List<URI> operators, List<TargetView> targets, HttpCaller caller) {
    this.entries = entries;
    this.operators = operators;
    this.targets = targets;
    this.caller = caller;
  }

  /** Joins running entry VMs; {@code operators} and {@code targetsFile} may be empty. */
  static Provider provider(List<String> entries, List<URI> operators, String targetsFile) {
    return (contract, entriesPerZone, readyWithin) -> {
      HttpCaller caller = HttpCaller.withTimeout(TIMEOUT);
      try {
        List<TargetView> targets =
            targetsFile.isEmpty() ? List.of() : targets(Path.of(targetsFile), caller);
        return new RemoteSystem(entries, operators, targets, caller);
      } catch (SettingsException e) {
        caller.close();
        throw new IOException(e.getMessage(), e);
      }
    };
  }

  private static List<TargetView> targets(Path file, HttpCaller caller) throws SettingsException {
    List<TargetView> targets = new ArrayList<>();
    SettingsSection root = SettingsDocument.read(file).root("targets");
    for (SettingsSection section :
        root.sections("targets", "id", "service", "zone", "slots", "uri")) {
      targets.add(
          new RemoteTarget(
              section.text("id", Names.NAME, Names.NAME_ALLOWED),
              section.text("service", Names.NAME, Names.NAME_ALLOWED),
              section.text("zone", Names.NAME, Names.NAME_ALLOWED),
              section.wholeNumber("slots", 1, 10_000),
              URI.create(section.text("uri", Names.HTTP_URI, Names.HTTP_URI_ALLOWED)),
              caller));
    }
    return targets;
  }

  private record RemoteTarget(
      String id, String service, String zone, int slots, URI address, HttpCaller caller)
      implements TargetView {
    @Override
    public Reading read() throws IOException {
      JsonNode load = json("/admin/state").path("load");
      long started = json("/admin/executions").path("total").asLong();
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
    String path =
        switch (fault.kind()) {
          case DRAIN_TARGET -> "/admin/drain";
          case CRASH_TARGET -> "/admin/crash";
          default ->
              throw new IOException(
                  fault.kind()
                      + " cannot be done to processes that run already; only drain-target"
                      + " and crash-target can");
        };
    for (TargetView target : targets) {
      boolean chosen =
          (fault.zone().isEmpty() || fault.zone().equals(target.zone()))
              && (fault.service().isEmpty() || fault.service().equals(target.service()));
      if (chosen) {
        caller.post(target.address().resolve(path), new byte[0], ContentType.APPLICATION_JSON);
        return target.id();
      }
    }
    throw new IOException("no target is in the chosen zone and service");
  }

  @Override
  public Map<String, Long> revisionsInForce() {
    return Map.of();
  }

  @Override
  public void close() {
    caller.close();
  }
}
