package org.sageladder.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.Workspace;

/**
 * Formats the documents of operators, targets and the platform: configurations, store entries and
 * settings files.
 */
public final class PlatformTexts {
  private static final ObjectMapper JSON = new ObjectMapper();

  private PlatformTexts() {}

  /** The seal of the answer to a request. */
  static String seal(String requestId) {
    return HexFormat.of().toHexDigits((short) requestId.hashCode());
  }

  /** Encodes a value as the store's API carries it. */
  public static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Parses a duration such as {@code 1500ms} or {@code 2.5s}; returns milliseconds. */
  static long parseMillis(String text) {
    if (text.endsWith("ms")) {
      return Math.round(Double.parseDouble(text.substring(0, text.length() - 2)));
    }
    return Math.round(1_000 * Double.parseDouble(text.substring(0, text.length() - 1)));
  }

  /** Formats a configuration of the given version without workspaces. */
  public static String configuration(
      long version, List<RouteRule> routes, List<ServiceRule> services) {
    return configuration(version, routes, services, Map.of());
  }

  /**
   * Formats a configuration of the given version.
   *
   * @param workspaces the workspaces, each with its API keys
   */
  public static String configuration(
      long version,
      List<RouteRule> routes,
      List<ServiceRule> services,
      Map<Workspace, List<String>> workspaces) {
    ObjectNode root = JSON.createObjectNode();
    root.put("config_version", String.format(Locale.ROOT, "%08x", version));
    ArrayNode resources = root.putArray("resources");
    for (RouteRule route : routes) {
      writeRoute(addResource(resources, "routes", route.name()), route);
    }
    for (ServiceRule service : services) {
      ObjectNode spec = addResource(resources, "services", service.name());
      spec.put("health_path", "/health");
      spec.put("max_connections", service.maxConnections());
      spec.put("cold_start", service.coldMillis() + "ms");
      spec.put("cold_per_s", service.maxColdRequestsPerSecond());
    }
    workspaces.forEach(
        (workspace, keys) ->
            writeWorkspace(addResource(resources, "tenants", workspace.name()), workspace, keys));
    ObjectNode limits = addResource(resources, "limits", "limits");
    limits.put("max_header_bytes", 16_384).put("max_body_bytes", 1 << 20);
    limits.put("header_timeout", "3s").put("idle_timeout", "15s");
    return root.toString();
  }

  private static ObjectNode addResource(ArrayNode resources, String kind, String name) {
    ObjectNode resource = resources.addObject();
    resource.put("resource_kind", kind);
    resource.putObject("metadata").put("name", name);
    return resource.putObject("spec");
  }

  private static void writeWorkspace(ObjectNode spec, Workspace workspace, List<String> keys) {
    ArrayNode apiKeys = spec.putArray("api_keys");
    keys.forEach(apiKeys::add);
    workspace.priority().ifPresent(priority -> spec.put("priority", priority));
    spec.put("rate_per_s", workspace.quota().ratePerSecond());
    spec.put("burst", workspace.quota().burst());
    ArrayNode regions = spec.putArray("allowed_regions");
    workspace.regions().stream().sorted().forEach(regions::add);
  }

  private static void writeRoute(ObjectNode spec, RouteRule route) {
    spec.put("host", route.host()).put("prefix", route.prefix());
    spec.put("kind", route.idempotent() ? "safe" : "unsafe");
    spec.put("timeout", route.timeoutMillis() + "ms");
    spec.put("target_latency", route.latencyGoalMillis() + "ms");
    spec.put("priority", route.priority()).put("max_attempts", route.maxTargets());
    spec.put("sticky_sessions", route.hasObjectAffinity());
    ArrayNode regions = spec.putArray("allowed_regions");
    route.regions().stream().sorted().forEach(regions::add);
    if (route.services().size() == 1) {
      spec.put("service", route.services().get(0).service());
      return;
    }
    ArrayNode split = spec.putArray("split");
    route
        .services()
        .forEach(
            share ->
                split.addObject().put("service", share.service()).put("weight", share.weight()));
  }

  /** Formats a target's entry in the store. */
  public static String targetEntry(TargetFacts facts, long sequence) {
    ObjectNode entry = JSON.createObjectNode();
    entry.put("service", facts.service());
    entry.put("address", facts.host() + ':' + facts.port());
    entry.put("zone", facts.zone()).put("config_version", "v1");
    entry.put("slots", facts.slots()).put("state", facts.isDraining() ? "draining" : "ready");
    entry.put("cold_left", facts.remainingColdMillis() + "ms").put("sequence", sequence);
    if (facts.incarnation().startedAtMillis() != 0) {
      entry.put("born", facts.incarnation().startedAtMillis());
    }
    return entry.toString();
  }

  /**
   * Formats the settings file of an entry VM.
   *
   * @param ip IP address that the VM listens on
   * @param ports ports for callers, readiness, look-ups and other VMs, in this order; the port
   *     after the last one must be free too
   * @param store address of the store
   */
  public static String settings(
      String name,
      String ip,
      String zone,
      Map<String, String> regionOfZone,
      List<Integer> ports,
      String store) {
    StringBuilder text = new StringBuilder();
    appendLine(text, "node_name", quoted(name));
    appendLine(text, "role", quoted("entry"));
    appendLine(text, "serves", "[\"front\",\"directory\"]");
    appendLine(text, "zone", quoted(zone));
    appendLine(text, "region", quoted(regionOfZone.getOrDefault(zone, "")));
    appendLine(text, "internal_ports", "[" + ports.get(3) + "," + (ports.get(3) + 1) + "]");
    appendLine(text, "heartbeat", quoted("1500ms"));
    text.append("[zones]\n");
    for (String each : Set.copyOf(regionOfZone.keySet()).stream().sorted().toList()) {
      appendLine(text, each, quoted(regionOfZone.getOrDefault(each, "")));
    }
    text.append("[listen]\n");
    appendLine(text, "front", quoted(ip + ':' + ports.get(0)));
    appendLine(text, "ready", quoted(ip + ':' + ports.get(1)));
    appendLine(text, "directory", quoted(ip + ':' + ports.get(2)));
    text.append("[bounds]\n");
    PlatformBounds bounds = PlatformBounds.standard();
    appendLine(text, "contact", quoted(bounds.discoveryMillis() + "ms"));
    appendLine(text, "drain", quoted(bounds.drainMillis() + "ms"));
    appendLine(text, "grace", quoted(bounds.graceMillis() + "ms"));
    appendLine(text, "config_apply", quoted(bounds.configurationApplyMillis() + "ms"));
    appendLine(text, "ttl_max", quoted("5s"));
    appendLine(text, "cold_over", Double.toString(bounds.coldRateFactor()));
    appendLine(text, "cold_slack", Integer.toString(bounds.coldExtraRequests()));
    appendLine(text, "budget_ratio", Double.toString(bounds.retryRatio()));
    appendLine(text, "budget_extra", Integer.toString(bounds.extraRetries()));
    appendLine(text, "budget_window", quoted(bounds.retryWindowMillis() + "ms"));
    appendLine(text, "shift_most", Double.toString(bounds.maxShiftFraction()));
    appendLine(text, "quota_window", quoted(bounds.quotaWindowMillis() + "ms"));
    appendLine(text, "quota_over", Double.toString(bounds.quotaExcessFraction()));
    appendLine(text, "quota_slack", Integer.toString(bounds.quotaExcessRequests()));
    text.append("[provider]\n");
    appendLine(text, "address", quoted(store));
    appendLine(text, "ttl_min", quoted("1000ms"));
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String key, String value) {
    text.append(key).append(" = ").append(value).append('\n');
  }

  private static String quoted(String text) {
    return '"' + text + '"';
  }
}
