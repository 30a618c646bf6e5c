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
 * The events of all processes, merged into one order.
 *
 * <pre>{@code
 * TimeLine timeLine = TimeLine.merge(fetched);
 * timeLine.entries(EventFilter.request("r-17")).forEach(System.out::println);
 * }</pre>
 *
 * <p>The order preserves the order of events within each process and puts the send event of a
 * message before its receive event. Events that neither rule orders are ordered by corrected clock
 * time.
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
   * One event with its position in the time line.
   *
   * @param process index of the process
   * @param micros time by the collector's clock, in microseconds since the Unix epoch; never
   *     earlier than that of an entry that must precede this one
   * @param uncertainty maximum error of {@code micros}, in microseconds
   */
  public record Entry(int process, String vm, long micros, long uncertainty, Event event) {}

  /** A message, from its send entry to its receive entry. */
  public record MessageArrow(Entry from, Entry to) {}

  /** Merges the events of the given processes; each process must occur only once. */
  public static TimeLine merge(List<ProcessEvents> processes) {
    List<Message> messages = MessageMatcher.match(processes);
    List<ClockOffset> offsets = ClockOffsetEstimator.estimate(processes, messages);
    return new Merge(processes, messages, offsets).merge();
  }

  /** The processes, in the order that {@link Entry#process()} refers to. */
  public List<ProcessEvents> processes() {
    return processes;
  }

  /** The lead of each process's clock over the collector's clock, in the order of the processes. */
  public List<ClockOffset> offsets() {
    return offsets;
  }

  /** Number of events, over all processes, that were overwritten before they were fetched. */
  public long lostCount() {
    return processes.stream().mapToLong(ProcessEvents::lostCount).sum();
  }

  /** The entries whose event passes {@code filter}, in time-line order. */
  public List<Entry> entries(Predicate<Event> filter) {
    return entries.stream().filter(entry -> filter.test(entry.event())).toList();
  }

  /** The messages whose send and receive events both pass {@code filter}. */
  public List<MessageArrow> messageArrows(Predicate<Event> filter) {
    return messageArrows.stream()
        .filter(arrow -> filter.test(arrow.from().event()) && filter.test(arrow.to().event()))
        .toList();
  }

  /**
   * Topological merge: repeatedly takes the earliest event whose predecessors have all been taken.
   */
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

    /**
     * Queues a process, or makes it wait until the message that its next event receives has been
     * sent.
     */
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
     * Breaks cycles of messages that were matched wrongly and wait for each other, for example
     * because a caller used one request id twice; otherwise their events would be missing from the
     * time line. Queues the process whose next event is the earliest by corrected clock time.
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
