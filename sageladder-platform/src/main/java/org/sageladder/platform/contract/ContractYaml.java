package org.sageladder.platform.contract;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ClientBlocks;
import org.sageladder.core.contract.Contract.Delays;
import org.sageladder.core.contract.Contract.LinkLimit;
import org.sageladder.core.contract.Contract.Region;
import org.sageladder.core.contract.Contract.Service;
import org.sageladder.core.contract.Contract.ShiftCap;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.settings.SettingsSection;

/**
 * Parses and formats contracts in the YAML form that operators write.
 *
 * <pre>{@code
 * Contract contract = ContractYaml.parse("kannelkoda.yaml", text);
 * String same = ContractYaml.format(contract);
 * }</pre>
 *
 * <p>Parsing checks each value on its own; {@code ContractCheck} checks the values against each
 * other.
 */
public final class ContractYaml {
  /** Largest block number allowed in a contract. */
  public static final int MAX_BLOCK = 999_999;

  private static final int MAX_COUNT_PER_SERVICE = 100_000;
  private static final double MAX_REQUESTS_PER_SECOND = 100_000_000;
  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final Duration DAY = Duration.ofDays(1);

  private static final String[] CONTRACT_KEYS = {
    "customer", "regions", "delays", "clientBlocks", "linkLimits", "services"
  };
  private static final String[] SERVICE_KEYS = {
    "name",
    "class",
    "repeatable",
    "targets",
    "slotsPerTarget",
    "connectionsPerTarget",
    "meanService",
    "queuePerTarget",
    "queueWait",
    "longestDeadline",
    "drainLimit",
    "retryFraction",
    "regionShiftCap",
    "targetShiftCap"
  };

  private ContractYaml() {}

  /**
   * Parses a contract, with revision 0; {@code fileName} is only used in errors.
   *
   * @throws SettingsException if a key is missing, unknown or has an invalid value; it names the
   *     first such key
   */
  public static Contract parse(String fileName, String yaml) throws SettingsException {
    return read(SettingsDocument.parse(fileName, yaml).root(CONTRACT_KEYS));
  }

  /** Reads and parses a contract file in UTF-8, as {@link #parse} does. */
  public static Contract read(Path file) throws SettingsException {
    return read(SettingsDocument.read(file).root(CONTRACT_KEYS));
  }

  /**
   * Returns the contract as YAML text, from which {@link #parse} makes an equal contract except for
   * the revision.
   */
  public static String format(Contract contract) {
    return ContractFormat.toYaml(ContractFormat.toTree(contract));
  }

  static String[] contractKeys() {
    return CONTRACT_KEYS.clone();
  }

  static Contract read(SettingsSection root) throws SettingsException {
    String customer = root.text("customer", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED);
    return new Contract(
        customer,
        0,
        regions(root),
        delays(root),
        clientBlocks(root),
        linkLimits(root),
        services(root));
  }

  private static List<Region> regions(SettingsSection root) throws SettingsException {
    List<Region> regions = new ArrayList<>();
    for (SettingsSection section : root.sections("regions", "name", "zones")) {
      String name = section.text("name", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED);
      regions.add(
          new Region(
              name, section.texts("zones", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED)));
    }
    return regions;
  }

  private static Delays delays(SettingsSection root) throws SettingsException {
    SettingsSection section = root.section("delays", "betweenZones", "betweenRegions", "toClients");
    return new Delays(
        toMillis(section.duration("betweenZones", Duration.ZERO, Duration.ofSeconds(10))),
        toMillis(section.duration("betweenRegions", Duration.ZERO, Duration.ofSeconds(10))),
        toMillis(section.duration("toClients", Duration.ZERO, Duration.ofSeconds(10))));
  }

  private static List<ClientBlocks> clientBlocks(SettingsSection root) throws SettingsException {
    List<ClientBlocks> blocks = new ArrayList<>();
    for (SettingsSection section : root.sections("clientBlocks", "first", "last", "region")) {
      int first = section.wholeNumber("first", 0, MAX_BLOCK);
      int last = section.wholeNumber("last", first, MAX_BLOCK);
      String region = section.text("region", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED);
      blocks.add(new ClientBlocks(first, last, region));
    }
    return blocks;
  }

  private static List<LinkLimit> linkLimits(SettingsSection root) throws SettingsException {
    List<LinkLimit> limits = new ArrayList<>();
    for (SettingsSection section : root.sections("linkLimits", "from", "to", "requestsPerSecond")) {
      limits.add(
          new LinkLimit(
              section.text("from", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
              section.text("to", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
              section.decimal("requestsPerSecond", 0, MAX_REQUESTS_PER_SECOND)));
    }
    return limits;
  }

  private static List<Service> services(SettingsSection root) throws SettingsException {
    List<Service> services = new ArrayList<>();
    for (SettingsSection section : root.sections("services", SERVICE_KEYS)) {
      services.add(service(section));
    }
    return services;
  }

  private static Service service(SettingsSection section) throws SettingsException {
    return new Service(
        section.text("name", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
        section.choice("class", RequestClass.class),
        section.flag("repeatable"),
        section.wholeNumber("targets", 1, MAX_COUNT_PER_SERVICE),
        section.wholeNumber("slotsPerTarget", 1, 10_000),
        section.wholeNumber("connectionsPerTarget", 1, MAX_COUNT_PER_SERVICE),
        toMillis(section.duration("meanService", Duration.ofNanos(1_000), DAY)),
        section.wholeNumber("queuePerTarget", 0, MAX_COUNT_PER_SERVICE),
        section.duration("queueWait", Duration.ZERO, DAY),
        section.duration("longestDeadline", MILLISECOND, DAY),
        section.duration("drainLimit", MILLISECOND, DAY),
        section.decimal("retryFraction", 0, 1),
        shiftCap(section, "regionShiftCap"),
        shiftCap(section, "targetShiftCap"));
  }

  private static ShiftCap shiftCap(SettingsSection section, String key) throws SettingsException {
    SettingsSection cap = section.section(key, "gainFraction", "window");
    return new ShiftCap(
        cap.decimal("gainFraction", 0.001, 1),
        cap.duration("window", Duration.ofMillis(100), Duration.ofHours(1)));
  }

  private static double toMillis(Duration duration) {
    return duration.toNanos() / 1e6;
  }
}
