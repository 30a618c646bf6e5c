package org.sageladder.entry.request;

import io.micrometer.core.instrument.MeterRegistry;
import org.sageladder.core.result.ResultCode;

/** Counts results for the metrics endpoint. */
public final class RequestCounters {
  private final MeterRegistry registry;

  private RequestCounters(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Counters that are registered in {@code registry}. */
  public static RequestCounters in(MeterRegistry registry) {
    return new RequestCounters(registry);
  }

  /** Counts one result sent to a caller. */
  public void countResult(String service, ResultCode code) {
    registry.counter("sageladder.results", "service", service, "code", code.name()).increment();
  }

  /** Counts one answered look-up. */
  public void countLookUp(String service) {
    registry.counter("sageladder.look.ups", "service", service).increment();
  }
}
