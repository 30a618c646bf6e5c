package org.sageladder.entry.request;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.steering.Route;
import org.sageladder.core.time.TimeSource;

/**
 * Explains to operators how a look-up is answered at present, and from which inputs.
 *
 * <p>The shares are measured by querying the look-up table itself many times with fixed random
 * bits, so that the explanation cannot differ from the answers that callers get.
 */
public final class LookUpExplainer {
  private static final JsonMapper JSON = new JsonMapper();
  private static final int SAMPLE_COUNT = 1_000;

  private final LookUps lookUps;
  private final TimeSource time;

  private LookUpExplainer(LookUps lookUps, TimeSource time) {
    this.lookUps = lookUps;
    this.time = time;
  }

  static LookUpExplainer of(LookUps lookUps, TimeSource time) {
    return new LookUpExplainer(lookUps, time);
  }

  /**
   * Explains the look-up whose query is in {@code pathWithQuery}.
   *
   * @return null if the contract, the service or the block is unknown
   */
  public @Nullable ObjectNode explain(String pathWithQuery, ClusterState state) {
    LookUps.Query query = LookUps.Query.parse(pathWithQuery);
    Contract contract = state.contracts().get(query.contract());
    Contract.Service service =
        contract == null ? null : contract.service(query.service()).orElse(null);
    String region = contract == null ? null : contract.regionOfBlock(query.block()).orElse(null);
    if (contract == null || service == null || region == null) {
      return null;
    }
    ObjectNode json = JSON.createObjectNode();
    json.put("contract", contract.customer());
    json.put("revision", contract.revision());
    json.put("service", service.name());
    json.put("class", service.requestClass().name());
    json.put("block", query.block());
    json.put("callersRegion", region);
    addRoutes(json.putArray("routes"), query);
    addCaps(json.putObject("caps"), service);
    addZones(json.putArray("zones"), contract, service, state);
    return json;
  }

  private void addRoutes(ArrayNode routes, LookUps.Query query) {
    Map<Route, Integer> counts = new LinkedHashMap<>();
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < SAMPLE_COUNT; i++) {
      Route route = lookUps.route(query, random.nextLong());
      if (route != null) {
        counts.merge(route, 1, Integer::sum);
      }
    }
    counts.forEach(
        (route, count) -> {
          ObjectNode node = routes.addObject();
          node.put("share", count / (double) SAMPLE_COUNT);
          node.put("rule", route.reason());
          node.put("ttlMillis", route.ttlMillis());
          ArrayNode entries = node.putArray("entries");
          for (Member member : route.entries()) {
            entries.add(member.vm() + " in " + member.zone());
          }
        });
  }

  private static void addCaps(ObjectNode caps, Contract.Service service) {
    addCap(caps.putObject("region"), service.regionShiftCap());
    addCap(caps.putObject("target"), service.targetShiftCap());
  }

  private static void addCap(ObjectNode node, Contract.ShiftCap cap) {
    node.put("gainFraction", cap.gainFraction()).put("windowMillis", cap.window().toMillis());
  }

  private void addZones(
      ArrayNode zones, Contract contract, Contract.Service service, ClusterState state) {
    for (String zone : contract.zones()) {
      ObjectNode node = zones.addObject().put("zone", zone);
      addView(node, state.views().get(zone), contract, service);
      for (ZoneSummary summary : state.summaries()) {
        boolean isRelevant =
            summary.zone().equals(zone)
                && summary.customer().equals(contract.customer())
                && summary.service().equals(service.name());
        if (isRelevant) {
          node.put("summaryAgeMillis", time.wallMillis() - summary.takenAtMillis());
          node.put("slots", summary.slots());
          node.put("busy", summary.busy());
          node.put("queued", summary.queued());
          node.put("admittedPerSecond", summary.admittedPerSecond());
          node.put("ceilingPerSecond", summary.ceilingPerSecond());
        }
      }
    }
  }

  private static void addView(
      ObjectNode node, @Nullable ZoneView view, Contract contract, Contract.Service service) {
    if (view == null) {
      node.put("view", "none heard of");
      return;
    }
    int usable = 0;
    int leaving = 0;
    for (Holding holding : view.holdings()) {
      boolean isRelevant =
          holding.customer().equals(contract.customer())
              && holding.service().equals(service.name());
      if (isRelevant && holding.isDraining()) {
        leaving++;
      } else if (isRelevant && holding.slots() > 0) {
        usable++;
      }
    }
    node.put("view", view.number());
    node.put("usableTargets", usable);
    node.put("leavingTargets", leaving);
  }
}
