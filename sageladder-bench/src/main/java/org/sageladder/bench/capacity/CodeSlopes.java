package org.sageladder.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.ContractCheck;
import org.sageladder.core.event.EventBuffer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.core.permit.Permit;
import org.sageladder.core.permit.PermitCodec;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.steering.LookUpTable;
import org.sageladder.core.steering.SteeringInputs;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.contract.StoredContract;

/** Slopes of pieces of code, measured in this process. */
final class CodeSlopes {
  private static final int[] ZONES = {16, 32, 48, 64, 94};
  private static final int[] COUNTS = {100_000, 200_000, 300_000, 400_000};
  private static final long NOW = 1_700_000_000_000L;

  private CodeSlopes() {}

  /** All slopes, each with what it means at the target size. */
  static List<Line> measure() {
    List<Line> lines = new ArrayList<>();
    lines.add(
        new Line(
            "time of one look-up in the table",
            "ns",
            "look-up",
            fit(COUNTS, CodeSlopes::lookUpNanos),
            1,
            "core.steering.LookUpTable"));
    lines.add(
        new Line(
            "time to rebuild the look-up table",
            "us",
            "zone",
            fit(ZONES, CodeSlopes::rebuildMicros),
            TargetSize.ZONES,
            "core.steering.LookUpTable"));
    lines.add(
        new Line(
            "memory of the look-up table",
            "kB",
            "zone",
            fit(ZONES, CodeSlopes::tableKilobytes),
            TargetSize.ZONES,
            "core.steering.LookUpTable"));
    lines.add(
        new Line(
            "memory of the state of all zones",
            "kB",
            "zone",
            fit(ZONES, CodeSlopes::stateKilobytes),
            TargetSize.ZONES,
            "core.membership.ClusterState"));
    lines.add(
        new Line(
            "size of a stored contract",
            "bytes",
            "zone",
            fit(ZONES, CodeSlopes::contractBytes),
            TargetSize.ZONES,
            "platform.contract.StoredContract"));
    lines.add(
        new Line(
            "time to check and parse a contract",
            "us",
            "zone",
            fit(new int[] {94, 188, 376, 564, 752}, CodeSlopes::contractMicros),
            TargetSize.ZONES,
            "platform.contract.ContractYaml"));
    addRequestPath(lines);
    return lines;
  }

  private static void addRequestPath(List<Line> lines) {
    lines.add(
        new Line(
            "time of one admission and release",
            "ns",
            "request",
            fit(COUNTS, CodeSlopes::gateNanos),
            1,
            "core.limits.ServiceGate"));
    lines.add(
        new Line(
            "memory of a gate",
            "kB",
            "target held",
            fit(new int[] {40, 80, 160, 320}, CodeSlopes::gateKilobytes),
            (double) TargetSize.SITES / TargetSize.NODES,
            "core.limits.ServiceGate"));
    lines.add(
        new Line(
            "time of one permit sealed, opened and begun",
            "ns",
            "permit",
            fit(new int[] {5_000, 10_000, 15_000, 20_000}, CodeSlopes::permitNanos),
            1,
            "core.permit.PermitHome, PermitCodec"));
    lines.add(
        new Line(
            "time of one event",
            "ns",
            "event",
            fit(COUNTS, CodeSlopes::eventNanos),
            1,
            "core.event.EventBuffer"));
    lines.add(
        new Line(
            "memory of the event buffer",
            "kB",
            "event kept",
            fit(new int[] {4_096, 8_192, 16_384, 32_768}, CodeSlopes::eventKilobytes),
            16_384,
            "core.event.EventBuffer"));
  }

  private static Slope fit(int[] sizes, IntToDoubleFunction value) {
    List<Slope.Point> points = new ArrayList<>();
    var warmUp = value.applyAsDouble(sizes[0]);
    Measure.sink = warmUp;
    for (int size : sizes) {
      points.add(new Slope.Point(size, value.applyAsDouble(size)));
    }
    return Slope.fit(points);
  }

  private static ClusterState state(int zones) {
    return TargetSize.state(TargetSize.contract(zones, TargetSize.BLOCKS), NOW);
  }

  private static double lookUpNanos(int count) {
    LookUpTable table = LookUpTable.build(state(TargetSize.ZONES), SteeringInputs.at(NOW));
    return Measure.nanos(
        3,
        8,
        () -> {
          int seen = 0;
          int block = 0;
          for (int i = 0; i < count; i++) {
            block = (block + 7_919) % TargetSize.BLOCKS;
            Object route =
                table.lookUp(
                    TargetSize.CUSTOMER, TargetSize.SERVICE, block, i * 0x9e3779b97f4a7c15L);
            seen += route == null ? 0 : 1;
          }
          Measure.sink = seen;
        });
  }

  private static double rebuildMicros(int zones) {
    ClusterState state = state(zones);
    LookUpTable first = LookUpTable.build(state, SteeringInputs.at(NOW));
    return Measure.nanos(
            40,
            60,
            () -> Measure.sink = LookUpTable.build(state, SteeringInputs.after(first, NOW + 1)))
        / 1e3;
  }

  private static double tableKilobytes(int zones) {
    ClusterState state = state(zones);
    return Measure.bytes(() -> LookUpTable.build(state, SteeringInputs.at(NOW))) / 1e3;
  }

  private static double stateKilobytes(int zones) {
    return Measure.bytes(() -> state(zones)) / 1e3;
  }

  private static double contractBytes(int zones) {
    Contract contract = TargetSize.contract(zones, TargetSize.BLOCKS);
    return new StoredContract("change-1", "operator", contract).toBytes().length;
  }

  private static double contractMicros(int zones) {
    String yaml = ContractYaml.format(TargetSize.contract(zones, TargetSize.BLOCKS));
    return Measure.nanos(
            200,
            200,
            () -> {
              try {
                Measure.sink = ContractCheck.problems(ContractYaml.parse("bench", yaml));
              } catch (org.sageladder.platform.settings.SettingsException e) {
                throw new IllegalStateException(e);
              }
            })
        / 1e3;
  }

  private static ServiceGate gate(int targets) {
    ServiceGate gate =
        ServiceGate.create(
            TargetSize.CUSTOMER,
            TargetSize.service(TargetSize.SERVICE, targets),
            TimeSource.system(),
            (delay, task) -> {},
            EventSink.none());
    List<Holding> holdings = new ArrayList<>();
    for (int t = 0; t < targets; t++) {
      holdings.add(
          new Holding(
              "t" + t,
              TargetSize.CUSTOMER,
              TargetSize.SERVICE,
              "10.0.1." + t,
              9_000,
              1,
              "self",
              3,
              false));
    }
    gate.updateHoldings(holdings);
    return gate;
  }

  private static double gateNanos(int count) {
    try (ServiceGate gate = gate(8)) {
      long deadline = System.nanoTime() + Duration.ofHours(1).toNanos();
      AdmissionRequest request = new AdmissionRequest("r", deadline, "", "");
      return Measure.nanos(
          2,
          4,
          () -> {
            for (int i = 0; i < count; i++) {
              gate.request(request, CodeSlopes::release);
            }
          });
    }
  }

  private static void release(Admission admission) {
    if (admission instanceof Admission.Admitted admitted) {
      admitted.slot().release(Admission.Completion.ANSWERED);
    }
  }

  private static double gateKilobytes(int targets) {
    return Measure.bytes(() -> gate(targets)) / 1e3;
  }

  private static double permitNanos(int count) {
    byte[] secret = new byte[32];
    KeyRing ring = KeyRing.of(List.of(new KeyRing.Key("k", NOW, KeyRing.Secret.of(secret))));
    PermitCodec codec = PermitCodec.of(() -> ring);
    PermitHome home = PermitHome.of("vm", 1, PermitHome.Limits.standard());
    long[] clock = {NOW};
    return Measure.nanos(
        3,
        8,
        () -> {
          for (int i = 0; i < count; i++) {
            clock[0] += i % 10 == 0 ? 1 : 0;
            Permit permit =
                home.mint(TargetSize.CUSTOMER, TargetSize.SERVICE, clock[0]).orElseThrow();
            codec.open(codec.seal(permit));
            Measure.sink = home.beginExecution(permit, "digest", clock[0]);
          }
          clock[0] += Duration.ofHours(2).toMillis();
          home.dropExpired(clock[0]);
        });
  }

  private static double eventNanos(int count) {
    EventBuffer buffer = EventBuffer.withCapacity(16_384, TimeSource.system());
    return Measure.nanos(
        3,
        8,
        () -> {
          for (int i = 0; i < count; i++) {
            buffer.record(
                EventKind.DISPATCHED, "r-17", TargetSize.CUSTOMER, "t-3", 0, "try " + i % 3);
          }
        });
  }

  private static double eventKilobytes(int capacity) {
    return Measure.bytes(
            () -> {
              EventBuffer buffer = EventBuffer.withCapacity(capacity, TimeSource.system());
              for (int i = 0; i < capacity; i++) {
                buffer.record(
                    EventKind.DISPATCHED, "r-" + i, TargetSize.CUSTOMER, "t-3", 0, "try " + i);
              }
              return buffer;
            })
        / 1e3;
  }
}
