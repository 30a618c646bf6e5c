package org.sageladder.entry.request;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.Outbound;
import org.sageladder.entry.quarantine.CrashWatch;

/** What every request flow of one entry VM shares. */
record FlowParts(
    String vm,
    String customer,
    Outbound client,
    ScheduledExecutorService timers,
    TimeSource time,
    EventSink events,
    RequestCounters counters,
    Duration connectTimeout,
    CrashWatch crashes) {}
