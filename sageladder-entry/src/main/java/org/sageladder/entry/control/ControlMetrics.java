package org.sageladder.entry.control;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sageladder.protocol.LinkCounters;
import org.sageladder.protocol.ProtocolException;
import org.sageladder.protocol.ZoneReport;

/** Meters of the control plane; docs/MEMBERSHIP.md says what to watch. */
public final class ControlMetrics {
  private static final List<String> STORE_CALLS =
      List.of(
          "read",
          "list",
          "vms",
          "watch",
          "grantLease",
          "keepAlive",
          "revokeLease",
          "compareAndSet",
          "compareAndDelete");

  private ControlMetrics() {}

  /** Registers the meters of {@code plane}. */
  public static void bind(MeterRegistry metrics, RelayControlPlane plane) {
    LinkCounters links = plane.linkCounters();
    counter(metrics, "sageladder.control.bytes.in", links, LinkCounters::bytesIn);
    counter(metrics, "sageladder.control.bytes.out", links, LinkCounters::bytesOut);
    counter(metrics, "sageladder.control.frames.in", links, LinkCounters::framesIn);
    counter(metrics, "sageladder.control.frames.out", links, LinkCounters::framesOut);
    counter(metrics, "sageladder.control.unsent", links, LinkCounters::unsentMessages);
    for (ProtocolException.Reason reason : ProtocolException.Reason.values()) {
      FunctionCounter.builder(
              "sageladder.control.dropped", links, counters -> counters.dropCount(reason))
          .tag("reason", reason.name())
          .description("Inner connections dropped because of what the peer sent")
          .register(metrics);
    }
    for (String kind : STORE_CALLS) {
      FunctionCounter.builder(
              "sageladder.store.calls",
              plane,
              p -> p.storeCallCounts().getOrDefault(kind, 0L).doubleValue())
          .tag("kind", kind)
          .description("Calls to the platform's service; a waiting watch is one")
          .register(metrics);
    }
    counter(
        metrics, "sageladder.store.calls.refused", plane, RelayControlPlane::refusedStoreCallCount);
    gauge(metrics, "sageladder.control.links", plane, RelayControlPlane::openLinks);
    gauge(metrics, "sageladder.control.relaying", plane, p -> p.isRelay() ? 1 : 0);
    gauge(metrics, "sageladder.control.lowest.revision", plane, ControlMetrics::lowestRevision);
  }

  private static double lowestRevision(RelayControlPlane plane) {
    return plane.zoneReports().stream().mapToLong(ZoneReport::lowestRevision).min().orElse(0);
  }

  private static <T> void counter(
      MeterRegistry metrics, String name, T source, ToDoubleFunction<T> value) {
    FunctionCounter.builder(name, source, value).register(metrics);
  }

  private static <T> void gauge(
      MeterRegistry metrics, String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).register(metrics);
  }
}
