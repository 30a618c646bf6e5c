package org.sageladder.tools.timeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;

/**
 * Finds the messages that processes exchanged about requests.
 *
 * <p>A request that one entry VM forwards and another receives gives one message there; where the
 * sender records an answer, the receiver's own end of the request gives one back. A sender that
 * fails or refuses may have given up by itself, before the receiver's end, so that gives none.
 */
final class MessageMatcher {
  private final List<ProcessEvents> processes;
  private final Map<String, Integer> processIndexes = new HashMap<>();
  private final List<Map<String, List<Integer>>> eventIndexesByRequest = new ArrayList<>();
  private final List<Message> matched = new ArrayList<>();

  private MessageMatcher(List<ProcessEvents> processes) {
    this.processes = processes;
    for (int p = 0; p < processes.size(); p++) {
      processIndexes.put(processes.get(p).vm(), p);
      eventIndexesByRequest.add(indexesByRequest(processes.get(p).events()));
    }
  }

  static List<Message> match(List<ProcessEvents> processes) {
    MessageMatcher messages = new MessageMatcher(processes);
    for (int p = 0; p < processes.size(); p++) {
      messages.matchSentBy(p);
    }
    return List.copyOf(messages.matched);
  }

  private static Map<String, List<Integer>> indexesByRequest(List<Event> events) {
    Map<String, List<Integer>> positions = new HashMap<>();
    for (int i = 0; i < events.size(); i++) {
      String request = events.get(i).request();
      if (!request.isEmpty()) {
        positions.computeIfAbsent(request, ignored -> new ArrayList<>()).add(i);
      }
    }
    return positions;
  }

  private void matchSentBy(int sender) {
    List<Event> events = processes.get(sender).events();
    for (int sendIndex = 0; sendIndex < events.size(); sendIndex++) {
      Event event = events.get(sendIndex);
      Integer receiver = processIndexes.get(event.subject());
      if (event.kind() != EventKind.FORWARDED || receiver == null || receiver == sender) {
        continue;
      }
      List<Integer> receiverIndexes =
          eventIndexesByRequest.get(receiver).getOrDefault(event.request(), List.of());
      int receiveIndex = firstReceipt(receiver, receiverIndexes, sender);
      if (receiveIndex < 0) {
        continue;
      }
      matched.add(new Message(sender, sendIndex, receiver, receiveIndex));
      int completionIndex = firstCompletion(receiver, receiverIndexes, receiveIndex);
      int answerIndex =
          firstAnswer(sender, eventIndexesByRequest.get(sender).get(event.request()), sendIndex);
      if (completionIndex >= 0 && answerIndex >= 0) {
        matched.add(new Message(receiver, completionIndex, sender, answerIndex));
      }
    }
  }

  /** The detail of a receipt names who forwarded the request; it is empty for a caller's own. */
  private int firstReceipt(int receiver, List<Integer> positions, int sender) {
    String name = processes.get(sender).vm();
    for (int position : positions) {
      Event event = processes.get(receiver).events().get(position);
      if (event.kind() == EventKind.RECEIVED && event.detail().equals(name)) {
        return position;
      }
    }
    return -1;
  }

  private int firstAnswer(int process, List<Integer> positions, int afterIndex) {
    for (int position : positions) {
      EventKind kind = processes.get(process).events().get(position).kind();
      if (position > afterIndex && kind == EventKind.ANSWERED) {
        return position;
      }
    }
    return -1;
  }

  private int firstCompletion(int process, List<Integer> positions, int afterIndex) {
    for (int position : positions) {
      EventKind kind = processes.get(process).events().get(position).kind();
      boolean end =
          kind == EventKind.ANSWERED || kind == EventKind.REFUSED || kind == EventKind.FAILED;
      if (position > afterIndex && end) {
        return position;
      }
    }
    return -1;
  }
}
