package org.sageladder.bench.timeline;

import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import org.sageladder.core.event.EventBuffer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.TimeSource;

/** Measures the time to record one event, compared with a sink that discards events. */
public class TimelineCost {
  private static final double AIM_NANOS = 500;
  private static final int CAPACITY = 16_384;

  /** The sinks that the benchmark methods record into. */
  @State(Scope.Benchmark)
  public static class Sinks {
    final EventBuffer buffer = EventBuffer.withCapacity(CAPACITY, TimeSource.system());
    final EventSink none = EventSink.none();
    volatile int tries = 1;
  }

  /** Records an event with a constant detail text. */
  @Benchmark
  @BenchmarkMode(Mode.AverageTime)
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public void fixedDetail(Sinks sinks) {
    sinks.buffer.record(EventKind.ADMITTED, "r-17", "kannelkoda", "tartu-1-t3", 0, "slot 2 of 3");
  }

  /** Records an event whose detail text is concatenated for it, as on the request path. */
  @Benchmark
  @BenchmarkMode(Mode.AverageTime)
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public void builtDetail(Sinks sinks) {
    sinks.buffer.record(
        EventKind.DISPATCHED, "r-17", "kannelkoda", "tartu-1-t3", 0, "try " + sinks.tries);
  }

  /** Baseline: the same call to a sink that discards events. */
  @Benchmark
  @BenchmarkMode(Mode.AverageTime)
  @OutputTimeUnit(TimeUnit.NANOSECONDS)
  public void forgotten(Sinks sinks) {
    sinks.none.record(
        EventKind.DISPATCHED, "r-17", "kannelkoda", "tartu-1-t3", 0, "try " + sinks.tries);
  }

  /** Measures with one thread and with four threads, longer with {@code --full}. */
  public static void main(String[] args) throws RunnerException {
    boolean full = args.length > 0 && args[0].equals("--full");
    double builtDetailNanos = 0;
    for (int threads : new int[] {1, 4}) {
      for (RunResult result : run(threads, full)) {
        String name = result.getPrimaryResult().getLabel();
        double nanos = result.getPrimaryResult().getScore();
        System.out.printf(
            Locale.ROOT,
            "%d threads  %-12s %8.1f ns an event (+-%.1f)%n",
            threads,
            name,
            nanos,
            result.getPrimaryResult().getScoreError());
        if (threads == 1 && name.equals("builtDetail")) {
          builtDetailNanos = nanos;
        }
      }
    }
    System.out.printf(
        Locale.ROOT,
        "timeline-cost: %.1f ns (aim at most %.0f ns an event)%n",
        builtDetailNanos,
        AIM_NANOS);
    System.exit(builtDetailNanos > 0 && builtDetailNanos <= AIM_NANOS ? 0 : 1);
  }

  private static Collection<RunResult> run(int threads, boolean full) throws RunnerException {
    return new Runner(
            new OptionsBuilder()
                .include(TimelineCost.class.getName())
                .forks(0)
                .threads(threads)
                .warmupIterations(2)
                .warmupTime(TimeValue.milliseconds(700))
                .measurementIterations(full ? 10 : 4)
                .measurementTime(TimeValue.milliseconds(full ? 1_000 : 500))
                .verbosity(VerboseMode.SILENT)
                .build())
        .run();
  }
}
