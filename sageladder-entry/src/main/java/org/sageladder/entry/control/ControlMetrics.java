package org.sageladder.entry.control;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sageladder.protocol.LinkCounters;
import org.sageladder.protocol.ProtocolException;
import org.sageladder.protocol.ZoneReport;

/** Metrics of the control plane; docs/MEMBERSHIP.md says which to monitor. */
public final class ControlMetrics {
  private static final List<String> STORE_CALL_KINDS =
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

  /** Registers the metrics of {@code controlPlane}. */
  public static void bind(MeterRegistry metrics, RelayControlPlane controlPlane) {
    LinkCounters links = controlPlane.linkCounters();
    registerCounter(metrics, "sageladder.control.bytes.in", links, LinkCounters::bytesIn);
    registerCounter(metrics, "sageladder.control.bytes.out", links, LinkCounters::bytesOut);
    registerCounter(metrics, "sageladder.control.frames.in", links, LinkCounters::framesIn);
    registerCounter(metrics, "sageladder.control.frames.out", links, LinkCounters::framesOut);
    registerCounter(metrics, "sageladder.control.unsent", links, LinkCounters::unsentMessages);
    for (ProtocolException.Reason reason : ProtocolException.Reason.values()) {
      FunctionCounter.builder(
              "sageladder.control.dropped", links, counters -> counters.dropCount(reason))
          .tag("reason", reason.name())
          .description("Inner connections dropped because of what the peer sent")
          .register(metrics);
    }
    for (String kind : STORE_CALL_KINDS) {
      FunctionCounter.builder(
              "sageladder.store.calls",
              controlPlane,
              p -> p.storeCallCounts().getOrDefault(kind, 0L).doubleValue())
          .tag("kind", kind)
          .description("Calls to the platform's service; a waiting watch is one")
          .register(metrics);
    }
    registerCounter(
        metrics,
        "sageladder.store.calls.refused",
        controlPlane,
        RelayControlPlane::refusedStoreCallCount);
    registerGauge(
        metrics, "sageladder.control.links", controlPlane, RelayControlPlane::openLinkCount);
    registerGauge(metrics, "sageladder.control.relaying", controlPlane, p -> p.isRelay() ? 1 : 0);
    registerGauge(
        metrics,
        "sageladder.control.lowest.revision",
        controlPlane,
        ControlMetrics::lowestRevision);
  }

  private static double lowestRevision(RelayControlPlane controlPlane) {
    return controlPlane.zoneReports().stream()
        .mapToLong(ZoneReport::lowestRevision)
        .min()
        .orElse(0);
  }

  private static <T> void registerCounter(
      MeterRegistry metrics, String name, T source, ToDoubleFunction<T> value) {
    FunctionCounter.builder(name, source, value).register(metrics);
  }

  private static <T> void registerGauge(
      MeterRegistry metrics, String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).register(metrics);
  }
}
