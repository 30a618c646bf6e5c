package org.sageladder.platform.contract;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.time.Duration;
import java.util.Locale;
import org.sageladder.core.contract.Contract;
import org.sageladder.platform.settings.DurationText;

/** Writes contracts in the form that {@link ContractYaml} reads. */
final class ContractFormat {
  private static final YAMLMapper MAPPER =
      YAMLMapper.builder()
          .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
          .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
          .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
          .enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
          .build();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private ContractFormat() {}

  static String toYaml(ObjectNode tree) {
    try {
      return MAPPER.writeValueAsString(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the contract could not be serialized", e);
    }
  }

  static ObjectNode toTree(Contract contract) {
    ObjectNode tree = NODES.objectNode();
    tree.put("customer", contract.customer());
    ArrayNode regions = tree.putArray("regions");
    for (Contract.Region region : contract.regions()) {
      ObjectNode node = regions.addObject().put("name", region.name());
      ArrayNode zones = node.putArray("zones");
      region.zones().forEach(zones::add);
    }
    Contract.Delays delays = contract.delays();
    tree.putObject("delays")
        .put("betweenZones", formatDuration(delays.betweenZonesMillis()))
        .put("betweenRegions", formatDuration(delays.betweenRegionsMillis()))
        .put("toClients", formatDuration(delays.toClientsMillis()));
    ArrayNode blocks = tree.putArray("clientBlocks");
    for (Contract.ClientBlocks range : contract.clientBlocks()) {
      blocks
          .addObject()
          .put("first", range.first())
          .put("last", range.last())
          .put("region", range.region());
    }
    ArrayNode limits = tree.putArray("linkLimits");
    for (Contract.LinkLimit limit : contract.linkLimits()) {
      ObjectNode node = limits.addObject().put("from", limit.from()).put("to", limit.to());
      putNumber(node, "requestsPerSecond", limit.requestsPerSecond());
    }
    ArrayNode services = tree.putArray("services");
    contract.services().forEach(service -> services.add(service(service)));
    return tree;
  }

  private static ObjectNode service(Contract.Service service) {
    ObjectNode node = NODES.objectNode();
    node.put("name", service.name())
        .put("class", service.requestClass().name().toLowerCase(Locale.ROOT))
        .put("repeatable", service.repeatable())
        .put("targets", service.targets())
        .put("slotsPerTarget", service.slotsPerTarget())
        .put("connectionsPerTarget", service.connectionsPerTarget())
        .put("meanService", formatDuration(service.meanServiceMillis()))
        .put("queuePerTarget", service.queuePerTarget())
        .put("queueWait", DurationText.format(service.queueWait()))
        .put("longestDeadline", DurationText.format(service.longestDeadline()))
        .put("drainLimit", DurationText.format(service.drainLimit()));
    putNumber(node, "retryFraction", service.retryFraction());
    node.set("regionShiftCap", shiftCap(service.regionShiftCap()));
    node.set("targetShiftCap", shiftCap(service.targetShiftCap()));
    return node;
  }

  private static ObjectNode shiftCap(Contract.ShiftCap cap) {
    ObjectNode node = NODES.objectNode();
    putNumber(node, "gainFraction", cap.gainFraction());
    return node.put("window", DurationText.format(cap.window()));
  }

  private static void putNumber(ObjectNode node, String key, double number) {
    if (number == Math.rint(number) && Math.abs(number) < 1e15) {
      node.put(key, (long) number);
    } else {
      node.put(key, number);
    }
  }

  private static String formatDuration(double millis) {
    return DurationText.format(Duration.ofNanos(Math.round(millis * 1e6)));
  }
}
