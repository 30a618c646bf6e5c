package org.sageladder.entry.request;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.RequestSender;
import org.sageladder.entry.quarantine.CrashDetector;

/** Dependencies that all request flows of one entry VM share. */
record FlowContext(
    String vm,
    String customer,
    RequestSender client,
    ScheduledExecutorService timers,
    TimeSource time,
    EventSink events,
    RequestCounters counters,
    Duration connectTimeout,
    CrashDetector crashDetector) {}
