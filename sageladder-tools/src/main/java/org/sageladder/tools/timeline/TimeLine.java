package org.sageladder.tools.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/**
 * Events of all processes in one order.
 *
 * <pre>{@code
 * TimeLine line = TimeLine.merge(fetched);
 * line.entries(EventFilter.request("r-17")).forEach(System.out::println);
 * }</pre>
 *
 * <p>The order respects each process's own order and puts the sending of a message before its
 * receipt; where neither decides, corrected clocks do.
 */
public final class TimeLine {
  private final List<ProcessEvents> processes;
  private final List<Offset> offsets;
  private final List<Entry> entries;
  private final List<Arrow> arrows;

  private TimeLine(
      List<ProcessEvents> processes,
      List<Offset> offsets,
      List<Entry> entries,
      List<Arrow> arrows) {
    this.processes = List.copyOf(processes);
    this.offsets = List.copyOf(offsets);
    this.entries = List.copyOf(entries);
    this.arrows = List.copyOf(arrows);
  }

  /**
   * One event in its place.
   *
   * @param process index of the process
   * @param micros time by the collector's clock, microseconds since the Unix epoch; never before
   *     that of an entry that must have come earlier
   * @param uncertainty how far the true time may be from {@code micros}
   */
  public record Entry(int process, String vm, long micros, long uncertainty, Event event) {}

  /** A message from one entry to a later one. */
  public record Arrow(Entry from, Entry to) {}

  /** Merges what was fetched; each process must occur once. */
  public static TimeLine merge(List<ProcessEvents> processes) {
    List<Message> messages = Messages.in(processes);
    List<Offset> offsets = ClockOffsets.estimate(processes, messages);
    return new Merge(processes, messages, offsets).run();
  }

  /** The processes in the order that {@link Entry#process()} counts. */
  public List<ProcessEvents> processes() {
    return processes;
  }

  /** The lead of each process's clock over the collector's. */
  public List<Offset> offsets() {
    return offsets;
  }

  /** Events that had given way in any process before they were fetched. */
  public long lost() {
    return processes.stream().mapToLong(ProcessEvents::lost).sum();
  }

  /** The entries whose event passes {@code filter}, in order. */
  public List<Entry> entries(Predicate<Event> filter) {
    return entries.stream().filter(entry -> filter.test(entry.event())).toList();
  }

  /** The messages both of whose events pass {@code filter}. */
  public List<Arrow> arrows(Predicate<Event> filter) {
    return arrows.stream()
        .filter(arrow -> filter.test(arrow.from().event()) && filter.test(arrow.to().event()))
        .toList();
  }

  /** Repeatedly takes the earliest event whose predecessors have all been taken. */
  private static final class Merge {
    private final List<ProcessEvents> processes;
    private final List<Message> messages;
    private final List<Offset> offsets;
    private final Map<Long, List<Message>> arriving = new HashMap<>();
    private final Map<Long, Entry> placed = new HashMap<>();
    private final Map<Long, List<Integer>> waiting = new HashMap<>();
    private final int[] position;
    private final boolean[] queued;
    private final long[] latest;
    private final PriorityQueue<Integer> ready;

    Merge(List<ProcessEvents> processes, List<Message> messages, List<Offset> offsets) {
      this.processes = processes;
      this.messages = messages;
      this.offsets = offsets;
      this.position = new int[processes.size()];
      this.latest = new long[processes.size()];
      this.queued = new boolean[processes.size()];
      this.ready =
          new PriorityQueue<>(
              Comparator.<Integer>comparingLong(this::nextMicros).thenComparing(p -> p));
      for (Message message : messages) {
        arriving
            .computeIfAbsent(key(message.to(), message.received()), k -> new ArrayList<>())
            .add(message);
      }
    }

    TimeLine run() {
      List<Entry> entries = new ArrayList<>();
      for (int p = 0; p < processes.size(); p++) {
        offer(p);
      }
      while (!ready.isEmpty() || releaseOne()) {
        int process = ready.remove();
        queued[process] = false;
        entries.add(place(process));
        List<Integer> released = waiting.remove(key(process, position[process] - 1));
        offer(process);
        if (released != null) {
          released.forEach(this::offer);
        }
      }
      return new TimeLine(processes, offsets, entries, arrows());
    }

    /** Puts a process in line, or lets it wait for the message that its next event receives. */
    private void offer(int process) {
      if (queued[process] || ended(process)) {
        return;
      }
      for (Message message : arrivingNext(process)) {
        long sent = key(message.from(), message.sent());
        if (!placed.containsKey(sent)) {
          waiting.computeIfAbsent(sent, k -> new ArrayList<>()).add(process);
          return;
        }
      }
      enqueue(process);
    }

    /**
     * Guards against messages that were paired wrongly and wait for one another, as when a caller
     * uses one request id twice: without it their events would be missing from the line. The one
     * that is earliest by its clock goes first.
     */
    private boolean releaseOne() {
      int earliest = -1;
      for (int p = 0; p < processes.size(); p++) {
        if (!ended(p) && (earliest < 0 || nextMicros(p) < nextMicros(earliest))) {
          earliest = p;
        }
      }
      if (earliest >= 0) {
        enqueue(earliest);
      }
      return earliest >= 0;
    }

    private void enqueue(int process) {
      queued[process] = true;
      ready.add(process);
    }

    private boolean ended(int process) {
      return position[process] >= processes.get(process).events().size();
    }

    private Entry place(int process) {
      Event event = processes.get(process).events().get(position[process]);
      Offset offset = offsets.get(process);
      Entry entry =
          new Entry(
              process,
              processes.get(process).process(),
              nextMicros(process),
              offset.uncertainty(),
              event);
      latest[process] = entry.micros();
      placed.put(key(process, position[process]), entry);
      position[process]++;
      return entry;
    }

    private long nextMicros(int process) {
      Event event = processes.get(process).events().get(position[process]);
      long micros = event.wallMicros() - offsets.get(process).middle();
      micros = Math.max(micros, latest[process]);
      for (Message message : arrivingNext(process)) {
        Entry sent = placed.get(key(message.from(), message.sent()));
        if (sent != null) {
          micros = Math.max(micros, sent.micros());
        }
      }
      return micros;
    }

    private List<Message> arrivingNext(int process) {
      return arriving.getOrDefault(key(process, position[process]), List.of());
    }

    private List<Arrow> arrows() {
      List<Arrow> arrows = new ArrayList<>();
      for (Message message : messages) {
        Entry from = placed.get(key(message.from(), message.sent()));
        Entry to = placed.get(key(message.to(), message.received()));
        if (from != null && to != null) {
          arrows.add(new Arrow(from, to));
        }
      }
      return arrows;
    }

    private static long key(int process, int event) {
      return (long) process << 32 | event;
    }
  }
}
