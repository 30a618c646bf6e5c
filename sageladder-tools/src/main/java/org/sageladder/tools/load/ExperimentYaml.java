package org.sageladder.tools.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.settings.SettingsSection;
import org.sageladder.tools.load.Experiment.Fault;
import org.sageladder.tools.load.Experiment.FaultKind;
import org.sageladder.tools.load.Experiment.Limits;
import org.sageladder.tools.load.Experiment.Load;
import org.sageladder.tools.load.Experiment.RateStep;
import org.sageladder.tools.load.Experiment.RegionWeight;
import org.sageladder.tools.load.Experiment.ServiceLimit;

/** Reads experiments from YAML; the keys are documented in {@code docs/OPERATING.md}. */
final class ExperimentYaml {
  private static final Duration HOUR = Duration.ofHours(1);
  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final double MAX_REQUESTS_PER_SECOND = 100_000;

  private final SettingsSection root;
  private final Contract contract;

  private ExperimentYaml(SettingsSection root, Contract contract) {
    this.root = root;
    this.contract = contract;
  }

  static Experiment read(Path file) throws SettingsException {
    SettingsSection root =
        SettingsDocument.read(file)
            .root(
                "name",
                "contract",
                "seed",
                "entriesPerZone",
                "warmUp",
                "loads",
                "faults",
                "limits");
    Path contract = file.toAbsolutePath().resolveSibling(root.text("contract")).normalize();
    return new ExperimentYaml(root, ContractYaml.read(contract)).experiment();
  }

  private Experiment experiment() throws SettingsException {
    return new Experiment(
        root.text("name", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
        contract,
        root.longNumber("seed", 0, Long.MAX_VALUE),
        root.wholeNumber("entriesPerZone", 1, 10, 1),
        root.duration("warmUp", Duration.ZERO, HOUR, Duration.ZERO),
        loads(),
        faults(),
        limits());
  }

  private List<Load> loads() throws SettingsException {
    List<Load> loads = new ArrayList<>();
    for (SettingsSection section :
        root.sections("loads", "service", "weights", "deadline", "answerBytes", "steps")) {
      List<RateStep> steps = new ArrayList<>();
      for (SettingsSection step : section.sections("steps", "for", "rate")) {
        steps.add(
            new RateStep(
                step.duration("for", MILLISECOND, HOUR),
                step.decimal("rate", 0, MAX_REQUESTS_PER_SECOND)));
      }
      Contract.Service service = service(section);
      loads.add(
          new Load(
              service.name(),
              weights(section),
              section.duration("deadline", MILLISECOND, service.longestDeadline()),
              section.wholeNumber("answerBytes", 0, 1 << 26, 1_024),
              steps));
    }
    if (loads.isEmpty()) {
      throw root.missing("loads", "at least one load");
    }
    return loads;
  }

  private List<RegionWeight> weights(SettingsSection load) throws SettingsException {
    List<RegionWeight> weights = new ArrayList<>();
    for (SettingsSection section : load.sections("weights", "region", "weight")) {
      String region = section.text("region");
      if (contract.regions().stream().noneMatch(candidate -> candidate.name().equals(region))) {
        throw section.error("region", region, "a region of the contract");
      }
      weights.add(new RegionWeight(region, section.decimal("weight", 0, 1_000)));
    }
    return weights;
  }

  private List<Fault> faults() throws SettingsException {
    List<Fault> faults = new ArrayList<>();
    for (SettingsSection section :
        root.sections("faults", "at", "do", "zone", "service", "for", "factor")) {
      faults.add(
          new Fault(
              section.duration("at", Duration.ZERO, HOUR),
              section.choice("do", FaultKind.class),
              zone(section),
              section.has("service") ? service(section).name() : "",
              section.duration("for", Duration.ZERO, HOUR, Duration.ZERO),
              section.decimal("factor", 1, 1_000, 1)));
    }
    return faults;
  }

  private Limits limits() throws SettingsException {
    SettingsSection section =
        root.section(
            "limits",
            "services",
            "unknownAtMost",
            "noNewWorkAfter",
            "drainWithin",
            "inForceWithin");
    List<ServiceLimit> services = new ArrayList<>();
    for (SettingsSection limit :
        section.sections(
            "services",
            "service",
            "percentile",
            "latencyAtMost",
            "wholeAtLeast",
            "headroomAtLeast")) {
      services.add(
          new ServiceLimit(
              service(limit).name(),
              limit.decimal("percentile", 1, 100, 99),
              limit.duration("latencyAtMost", MILLISECOND, HOUR),
              limit.decimal("wholeAtLeast", 0, 1),
              limit.decimal("headroomAtLeast", 0, 1, 0)));
    }
    return new Limits(
        services,
        section.decimal("unknownAtMost", 0, 1),
        section.duration("noNewWorkAfter", MILLISECOND, HOUR, Duration.ofSeconds(3)),
        section.duration("drainWithin", MILLISECOND, HOUR, Duration.ofSeconds(30)),
        section.duration("inForceWithin", MILLISECOND, HOUR, Duration.ofSeconds(6)));
  }

  private Contract.Service service(SettingsSection section) throws SettingsException {
    String name = section.text("service");
    return contract
        .service(name)
        .orElseThrow(() -> section.error("service", name, "a service of the contract"));
  }

  private String zone(SettingsSection section) throws SettingsException {
    if (!section.has("zone")) {
      return "";
    }
    String zone = section.text("zone");
    if (!contract.zones().contains(zone)) {
      throw section.error("zone", zone, "a zone of the contract");
    }
    return zone;
  }
}
