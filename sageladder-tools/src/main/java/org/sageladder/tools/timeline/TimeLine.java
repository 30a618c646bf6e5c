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
  private final List<ClockOffset> offsets;
  private final List<Entry> entries;
  private final List<MessageArrow> messageArrows;

  private TimeLine(
      List<ProcessEvents> processes,
      List<ClockOffset> offsets,
      List<Entry> entries,
      List<MessageArrow> arrows) {
    this.processes = List.copyOf(processes);
    this.offsets = List.copyOf(offsets);
    this.entries = List.copyOf(entries);
    this.messageArrows = List.copyOf(arrows);
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
  public record MessageArrow(Entry from, Entry to) {}

  /** Merges what was fetched; each process must occur once. */
  public static TimeLine merge(List<ProcessEvents> processes) {
    List<Message> messages = MessageMatcher.match(processes);
    List<ClockOffset> offsets = ClockOffsetEstimator.estimate(processes, messages);
    return new Merge(processes, messages, offsets).merge();
  }

  /** The processes in the order that {@link Entry#process()} counts. */
  public List<ProcessEvents> processes() {
    return processes;
  }

  /** The lead of each process's clock over the collector's. */
  public List<ClockOffset> offsets() {
    return offsets;
  }

  /** Events that had given way in any process before they were fetched. */
  public long lostCount() {
    return processes.stream().mapToLong(ProcessEvents::lostCount).sum();
  }

  /** The entries whose event passes {@code filter}, in order. */
  public List<Entry> entries(Predicate<Event> filter) {
    return entries.stream().filter(entry -> filter.test(entry.event())).toList();
  }

  /** The messages both of whose events pass {@code filter}. */
  public List<MessageArrow> messageArrows(Predicate<Event> filter) {
    return messageArrows.stream()
        .filter(arrow -> filter.test(arrow.from().event()) && filter.test(arrow.to().event()))
        .toList();
  }

  /** Repeatedly takes the earliest event whose predecessors have all been taken. */
  private static final class Merge {
    private final List<ProcessEvents> processes;
    private final List<Message> messages;
    private final List<ClockOffset> offsets;
    private final Map<Long, List<Message>> messagesByReceipt = new HashMap<>();
    private final Map<Long, Entry> mergedEntries = new HashMap<>();
    private final Map<Long, List<Integer>> waitingForSend = new HashMap<>();
    private final int[] nextIndex;
    private final boolean[] isQueued;
    private final long[] latestMicros;
    private final PriorityQueue<Integer> ready;

    Merge(List<ProcessEvents> processes, List<Message> messages, List<ClockOffset> offsets) {
      this.processes = processes;
      this.messages = messages;
      this.offsets = offsets;
      this.nextIndex = new int[processes.size()];
      this.latestMicros = new long[processes.size()];
      this.isQueued = new boolean[processes.size()];
      this.ready =
          new PriorityQueue<>(
              Comparator.<Integer>comparingLong(this::nextMicros).thenComparing(p -> p));
      for (Message message : messages) {
        messagesByReceipt
            .computeIfAbsent(
                eventKey(message.receiver(), message.receiveIndex()), k -> new ArrayList<>())
            .add(message);
      }
    }

    TimeLine merge() {
      List<Entry> entries = new ArrayList<>();
      for (int p = 0; p < processes.size(); p++) {
        enqueueOrWait(p);
      }
      while (!ready.isEmpty() || enqueueEarliestWaiting()) {
        int process = ready.remove();
        isQueued[process] = false;
        entries.add(takeNext(process));
        List<Integer> released = waitingForSend.remove(eventKey(process, nextIndex[process] - 1));
        enqueueOrWait(process);
        if (released != null) {
          released.forEach(this::enqueueOrWait);
        }
      }
      return new TimeLine(processes, offsets, entries, messageArrows());
    }

    /** Puts a process in line, or lets it wait for the message that its next event receives. */
    private void enqueueOrWait(int process) {
      if (isQueued[process] || isExhausted(process)) {
        return;
      }
      for (Message message : messagesReceivedNext(process)) {
        long sent = eventKey(message.sender(), message.sendIndex());
        if (!mergedEntries.containsKey(sent)) {
          waitingForSend.computeIfAbsent(sent, k -> new ArrayList<>()).add(process);
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
    private boolean enqueueEarliestWaiting() {
      int earliest = -1;
      for (int p = 0; p < processes.size(); p++) {
        if (!isExhausted(p) && (earliest < 0 || nextMicros(p) < nextMicros(earliest))) {
          earliest = p;
        }
      }
      if (earliest >= 0) {
        enqueue(earliest);
      }
      return earliest >= 0;
    }

    private void enqueue(int process) {
      isQueued[process] = true;
      ready.add(process);
    }

    private boolean isExhausted(int process) {
      return nextIndex[process] >= processes.get(process).events().size();
    }

    private Entry takeNext(int process) {
      Event event = processes.get(process).events().get(nextIndex[process]);
      ClockOffset offset = offsets.get(process);
      Entry entry =
          new Entry(
              process,
              processes.get(process).vm(),
              nextMicros(process),
              offset.uncertaintyMicros(),
              event);
      latestMicros[process] = entry.micros();
      mergedEntries.put(eventKey(process, nextIndex[process]), entry);
      nextIndex[process]++;
      return entry;
    }

    private long nextMicros(int process) {
      Event event = processes.get(process).events().get(nextIndex[process]);
      long micros = event.wallMicros() - offsets.get(process).midpointMicros();
      micros = Math.max(micros, latestMicros[process]);
      for (Message message : messagesReceivedNext(process)) {
        Entry sent = mergedEntries.get(eventKey(message.sender(), message.sendIndex()));
        if (sent != null) {
          micros = Math.max(micros, sent.micros());
        }
      }
      return micros;
    }

    private List<Message> messagesReceivedNext(int process) {
      return messagesByReceipt.getOrDefault(eventKey(process, nextIndex[process]), List.of());
    }

    private List<MessageArrow> messageArrows() {
      List<MessageArrow> arrows = new ArrayList<>();
      for (Message message : messages) {
        Entry from = mergedEntries.get(eventKey(message.sender(), message.sendIndex()));
        Entry to = mergedEntries.get(eventKey(message.receiver(), message.receiveIndex()));
        if (from != null && to != null) {
          arrows.add(new MessageArrow(from, to));
        }
      }
      return arrows;
    }

    private static long eventKey(int process, int event) {
      return (long) process << 32 | event;
    }
  }
}
