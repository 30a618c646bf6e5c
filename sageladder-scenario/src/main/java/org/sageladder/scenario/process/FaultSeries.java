package org.sageladder.scenario.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fault that is injected again and again for a part of the day. Series may overlap.
 *
 * <p>Written {@code KIND@FROM..TO/EVERY}, in milliseconds after the start of the traffic: {@code
 * kill-all@5000..30000/2500}.
 *
 * @param everyMillis time from one injection to the next
 */
record FaultSeries(Kind kind, long fromMillis, long toMillis, long everyMillis) {
  private static final Pattern FORMAT =
      Pattern.compile("([a-z-]+)@([0-9]{1,7})\\.\\.([0-9]{1,7})/([1-9][0-9]{0,6})");
  private static final int MIN_RANDOM_SERIES = 2;
  private static final int RANDOM_SERIES_RANGE = 3;
  private static final int MIN_RANDOM_EVERY_MILLIS = 500;
  private static final int RANDOM_EVERY_RANGE_MILLIS = 4_000;
  private static final long MIN_STOP_EVERY_MILLIS = 600;
  private static final int STOP_EVERY_RANGE_MILLIS = 2_000;
  private static final long MIN_CHANGE_EVERY_MILLIS = 1_500;
  private static final int CHANGE_EVERY_RANGE_MILLIS = 4_000;

  /** Most VMs must be up for bytes of no request to meet connections that are used again. */
  private static final long MIN_RESTART_EVERY_MILLIS = 5_000;

  /** What is no disturbance: requests must survive all of these. */
  private static final List<Kind> PLANNED_KINDS =
      List.of(Kind.TERMINATE_ONE, Kind.HANG_UP_ONE, Kind.CONFIGURE, Kind.OCCUPY_PROCESSORS);

  /** What {@link #random} draws from; the order decides what a seed draws. */
  private static final List<Kind> FAULT_KINDS =
      List.of(
          Kind.KILL_ONE,
          Kind.KILL_HALF,
          Kind.KILL_ALL,
          Kind.STOP_ONE,
          Kind.TERMINATE_ONE,
          Kind.HANG_UP_ONE,
          Kind.CONFIGURE,
          Kind.OCCUPY_PROCESSORS,
          Kind.CRASH_TARGETS,
          Kind.FAIL_REQUESTS,
          Kind.LOSE_ANSWERS,
          Kind.SILENCE_STORE,
          Kind.REFUSE_AT_STORE);

  /** What {@link #randomChanges} draws from besides planned work. */
  private static final List<Kind> CHANGE_KINDS =
      List.of(
          Kind.CHANGE_ROUTES,
          Kind.REPLACE_TARGET,
          Kind.REMOVE_TARGET,
          Kind.EVACUATE_ZONE,
          Kind.WRITE_FOREIGN_ENTRY,
          Kind.WRITE_LONG_ENTRIES,
          Kind.FORGET_HISTORY,
          Kind.DROP_WATCHES,
          Kind.SLOW_STORE,
          Kind.LOSE_STORE_ANSWERS,
          Kind.CRASH_TARGETS,
          Kind.TERMINATE_ONE,
          Kind.KILL_ONE);

  /** What {@link #randomUnsolicited} draws from, beside faults and changes. */
  private static final List<Kind> UNSOLICITED_KINDS =
      List.of(
          Kind.CUT_HEADS,
          Kind.ANSWER_TWICE_LATE,
          Kind.ANSWER_TWICE_IN_PIECES,
          Kind.ANSWER_TWICE_CUT,
          Kind.ANSWER_TWICE_SPOILT,
          Kind.ANSWER_TWICE_WITHOUT_ID,
          Kind.ADD_BYTES);

  /** What is injected. */
  enum Kind {
    /** SIGKILL to one entry VM. */
    KILL_ONE,
    /** SIGKILL to half of the entry VMs. */
    KILL_HALF,
    /** SIGKILL to all entry VMs. */
    KILL_ALL,
    /** SIGSTOP to one entry VM, and SIGCONT when the next one is stopped. */
    STOP_ONE,
    /** SIGTERM to one entry VM. */
    TERMINATE_ONE,
    /** SIGHUP to one entry VM. */
    HANG_UP_ONE,
    /** A newer configuration with the same routes. */
    CONFIGURE,
    /** Busy processes, one for each processor, until the series ends. */
    OCCUPY_PROCESSORS,
    /** A third of the targets crash and start again cold. */
    CRASH_TARGETS,
    /** All targets answer with failures until the series ends. */
    FAIL_REQUESTS,
    /** All targets lose their answers until the series ends. */
    LOSE_ANSWERS,
    /** The store answers nothing until the series ends. */
    SILENCE_STORE,
    /** The store refuses all calls until the series ends. */
    REFUSE_AT_STORE,
    /** A newer configuration that adds a route, drops an older added one and moves another. */
    CHANGE_ROUTES,
    /** A target is added, and another of its service and zone announces that it leaves. */
    REPLACE_TARGET,
    /** As REPLACE_TARGET, but the entry of the target that leaves is removed unannounced. */
    REMOVE_TARGET,
    /** A zone is evacuated, and taken back with cold targets before the next one. */
    EVACUATE_ZONE,
    /** A malformed entry beside those of the targets: nested, long, of other types, no base64. */
    WRITE_FOREIGN_ENTRY,
    /** Several entries of the maximum length beside those of the targets. */
    WRITE_LONG_ENTRIES,
    /** Watches get no changes while a target leaves; then the store discards its history. */
    FORGET_HISTORY,
    /** The store never answers the watches that wait, as on connections that are silent. */
    DROP_WATCHES,
    /** The store answers slowly until the series ends. */
    SLOW_STORE,
    /** The store executes calls and resets their connections until the series ends. */
    LOSE_STORE_ANSWERS,
    /** Targets break off within heads until the series ends. */
    CUT_HEADS,
    /** Targets send second answers later until the series ends. */
    ANSWER_TWICE_LATE,
    /** Targets send second answers in pieces until the series ends. */
    ANSWER_TWICE_IN_PIECES,
    /** Targets send parts of second answers and close until the series ends. */
    ANSWER_TWICE_CUT,
    /** Targets send second answers with a wrong byte until the series ends. */
    ANSWER_TWICE_SPOILT,
    /** Targets send second answers without an id until the series ends. */
    ANSWER_TWICE_WITHOUT_ID,
    /** Targets send bytes that are no answer behind answers until the series ends. */
    ADD_BYTES,
    /** Targets send whole answers with an invalid status until the series ends. */
    INVALID_STATUS,
    /** Targets send whole answers with an invalid header name until the series ends. */
    INVALID_HEADER;

    String text() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * Parses a series.
   *
   * @throws IllegalArgumentException if {@code text} is none; the message says what is accepted
   */
  static FaultSeries parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (matcher.matches()) {
      for (Kind kind : Kind.values()) {
        if (kind.text().equals(matcher.group(1))) {
          return new FaultSeries(
              kind,
              Long.parseLong(matcher.group(2)),
              Long.parseLong(matcher.group(3)),
              Long.parseLong(matcher.group(4)));
        }
      }
    }
    throw new IllegalArgumentException(
        "--fault is '"
            + text
            + "'; accepted is KIND@FROM..TO/EVERY in ms, such as kill-all@5000..30000/2500, with a "
            + "kind of "
            + List.of(Kind.values()).stream().map(Kind::text).toList());
  }

  /** Series drawn from a seed, most of which overlap. */
  static List<FaultSeries> random(long seed, long trafficMillis) {
    return random(seed, trafficMillis, FAULT_KINDS);
  }

  /** Series drawn from a seed, with targets that are replaced and routes that change throughout. */
  static List<FaultSeries> randomChanges(long seed, long trafficMillis) {
    List<FaultSeries> series = new ArrayList<>(random(seed, trafficMillis, CHANGE_KINDS));
    Random random = new Random(seed);
    long routesEveryMillis = MIN_CHANGE_EVERY_MILLIS + random.nextInt(CHANGE_EVERY_RANGE_MILLIS);
    long targetsEveryMillis = MIN_CHANGE_EVERY_MILLIS + random.nextInt(CHANGE_EVERY_RANGE_MILLIS);
    series.add(new FaultSeries(Kind.CHANGE_ROUTES, 0, trafficMillis, routesEveryMillis));
    series.add(new FaultSeries(Kind.REPLACE_TARGET, 0, trafficMillis, targetsEveryMillis));
    return series;
  }

  /** Series of planned work drawn from a seed, with planned stops all the while. */
  static List<FaultSeries> randomPlanned(long seed, long trafficMillis) {
    List<FaultSeries> series = new ArrayList<>(random(seed, trafficMillis, PLANNED_KINDS));
    long everyMillis = MIN_STOP_EVERY_MILLIS + new Random(seed).nextInt(STOP_EVERY_RANGE_MILLIS);
    series.add(new FaultSeries(Kind.TERMINATE_ONE, 0, trafficMillis, everyMillis));
    return series;
  }

  /** Changes and planned stops all the while, beside bytes that belong to no request. */
  static List<FaultSeries> randomUnsolicited(long seed, long trafficMillis) {
    List<FaultSeries> series = new ArrayList<>(randomChanges(seed, trafficMillis));
    series.addAll(random(seed, trafficMillis, UNSOLICITED_KINDS));
    Random random = new Random(~seed);
    long stopsEveryMillis = MIN_RESTART_EVERY_MILLIS + random.nextInt(CHANGE_EVERY_RANGE_MILLIS);
    long killsEveryMillis = MIN_RESTART_EVERY_MILLIS + random.nextInt(CHANGE_EVERY_RANGE_MILLIS);
    series.add(new FaultSeries(Kind.TERMINATE_ONE, 0, trafficMillis, stopsEveryMillis));
    series.add(new FaultSeries(Kind.KILL_ONE, 0, trafficMillis, killsEveryMillis));
    series.add(new FaultSeries(Kind.HANG_UP_ONE, 0, trafficMillis, stopsEveryMillis));
    return series;
  }

  private static List<FaultSeries> random(long seed, long trafficMillis, List<Kind> kinds) {
    Random random = new Random(seed);
    int count = MIN_RANDOM_SERIES + random.nextInt(RANDOM_SERIES_RANGE);
    List<FaultSeries> drawn = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      long fromMillis = Math.round(trafficMillis * random.nextDouble() / 2);
      long toMillis =
          fromMillis + Math.round((trafficMillis - fromMillis) * (0.3 + 0.7 * random.nextDouble()));
      long everyMillis = (long) MIN_RANDOM_EVERY_MILLIS + random.nextInt(RANDOM_EVERY_RANGE_MILLIS);
      drawn.add(new FaultSeries(kind, fromMillis, toMillis, everyMillis));
    }
    return drawn;
  }

  @Override
  public String toString() {
    return kind.text() + '@' + fromMillis + ".." + toMillis + '/' + everyMillis;
  }
}
