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

/** Measures how processor time and memory of single components grow, in this process. */
final class CodeSlopes {
  private static final int[] ZONES = {16, 32, 48, 64, 94};
  private static final int[] COUNTS = {100_000, 200_000, 300_000, 400_000};
  private static final long NOW_MILLIS = 1_700_000_000_000L;

  private CodeSlopes() {}

  /** Measures all slopes. */
  static List<SlopeResult> measure() {
    List<SlopeResult> results = new ArrayList<>();
    results.add(
        new SlopeResult(
            "time of one look-up in the table",
            "ns",
            "look-up",
            fit(COUNTS, CodeSlopes::lookUpNanos),
            1,
            "core.steering.LookUpTable"));
    results.add(
        new SlopeResult(
            "time to rebuild the look-up table",
            "us",
            "zone",
            fit(ZONES, CodeSlopes::rebuildMicros),
            TargetSize.ZONES,
            "core.steering.LookUpTable"));
    results.add(
        new SlopeResult(
            "memory of the look-up table",
            "kB",
            "zone",
            fit(ZONES, CodeSlopes::tableKilobytes),
            TargetSize.ZONES,
            "core.steering.LookUpTable"));
    results.add(
        new SlopeResult(
            "memory of the state of all zones",
            "kB",
            "zone",
            fit(ZONES, CodeSlopes::stateKilobytes),
            TargetSize.ZONES,
            "core.membership.ClusterState"));
    results.add(
        new SlopeResult(
            "size of a stored contract",
            "bytes",
            "zone",
            fit(ZONES, CodeSlopes::contractBytes),
            TargetSize.ZONES,
            "platform.contract.StoredContract"));
    results.add(
        new SlopeResult(
            "time to check and parse a contract",
            "us",
            "zone",
            fit(new int[] {94, 188, 376, 564, 752}, CodeSlopes::contractMicros),
            TargetSize.ZONES,
            "platform.contract.ContractYaml"));
    addRequestPath(results);
    return results;
  }

  private static void addRequestPath(List<SlopeResult> results) {
    results.add(
        new SlopeResult(
            "time of one admission and release",
            "ns",
            "request",
            fit(COUNTS, CodeSlopes::gateNanos),
            1,
            "core.limits.ServiceGate"));
    results.add(
        new SlopeResult(
            "memory of a gate",
            "kB",
            "target held",
            fit(new int[] {40, 80, 160, 320}, CodeSlopes::gateKilobytes),
            (double) TargetSize.TARGETS / TargetSize.ENTRY_VMS,
            "core.limits.ServiceGate"));
    results.add(
        new SlopeResult(
            "time of one permit sealed, opened and begun",
            "ns",
            "permit",
            fit(new int[] {5_000, 10_000, 15_000, 20_000}, CodeSlopes::permitNanos),
            1,
            "core.permit.PermitHome, PermitCodec"));
    results.add(
        new SlopeResult(
            "time of one event",
            "ns",
            "event",
            fit(COUNTS, CodeSlopes::eventNanos),
            1,
            "core.event.EventBuffer"));
    results.add(
        new SlopeResult(
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
    return TargetSize.state(TargetSize.contract(zones, TargetSize.CLIENT_BLOCKS), NOW_MILLIS);
  }

  private static double lookUpNanos(int count) {
    LookUpTable table = LookUpTable.build(state(TargetSize.ZONES), SteeringInputs.at(NOW_MILLIS));
    return Measure.minCpuNanos(
        3,
        8,
        () -> {
          int found = 0;
          int block = 0;
          for (int i = 0; i < count; i++) {
            block = (block + 7_919) % TargetSize.CLIENT_BLOCKS;
            Object route =
                table.lookUp(
                    TargetSize.CUSTOMER, TargetSize.SERVICE, block, i * 0x9e3779b97f4a7c15L);
            found += route == null ? 0 : 1;
          }
          Measure.sink = found;
        });
  }

  private static double rebuildMicros(int zones) {
    ClusterState state = state(zones);
    LookUpTable first = LookUpTable.build(state, SteeringInputs.at(NOW_MILLIS));
    return Measure.minCpuNanos(
            40,
            60,
            () ->
                Measure.sink =
                    LookUpTable.build(state, SteeringInputs.after(first, NOW_MILLIS + 1)))
        / 1e3;
  }

  private static double tableKilobytes(int zones) {
    ClusterState state = state(zones);
    return Measure.medianHeapBytes(() -> LookUpTable.build(state, SteeringInputs.at(NOW_MILLIS)))
        / 1e3;
  }

  private static double stateKilobytes(int zones) {
    return Measure.medianHeapBytes(() -> state(zones)) / 1e3;
  }

  private static double contractBytes(int zones) {
    Contract contract = TargetSize.contract(zones, TargetSize.CLIENT_BLOCKS);
    return new StoredContract("change-1", "operator", contract).toBytes().length;
  }

  private static double contractMicros(int zones) {
    String yaml = ContractYaml.format(TargetSize.contract(zones, TargetSize.CLIENT_BLOCKS));
    return Measure.minCpuNanos(
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
      return Measure.minCpuNanos(
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
    return Measure.medianHeapBytes(() -> gate(targets)) / 1e3;
  }

  private static double permitNanos(int count) {
    byte[] secret = new byte[32];
    KeyRing ring = KeyRing.of(List.of(new KeyRing.Key("k", NOW_MILLIS, KeyRing.Secret.of(secret))));
    PermitCodec codec = PermitCodec.of(() -> ring);
    PermitHome permitHome = PermitHome.of("vm", 1, PermitHome.Limits.standard());
    long[] clock = {NOW_MILLIS};
    return Measure.minCpuNanos(
        3,
        8,
        () -> {
          for (int i = 0; i < count; i++) {
            clock[0] += i % 10 == 0 ? 1 : 0;
            Permit permit =
                permitHome.mint(TargetSize.CUSTOMER, TargetSize.SERVICE, clock[0]).orElseThrow();
            codec.open(codec.seal(permit));
            Measure.sink = permitHome.beginExecution(permit, "digest", clock[0]);
          }
          clock[0] += Duration.ofHours(2).toMillis();
          permitHome.dropExpired(clock[0]);
        });
  }

  private static double eventNanos(int count) {
    EventBuffer buffer = EventBuffer.withCapacity(16_384, TimeSource.system());
    return Measure.minCpuNanos(
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
    return Measure.medianHeapBytes(
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
