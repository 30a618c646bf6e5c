package org.sageladder.tools.timeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;

/**
 * Matches the send and receive events of the messages that processes exchanged about requests.
 *
 * <p>A request that one entry VM forwards and another receives yields one message. If the sender
 * records an answer, the event with which the receiver completed the request yields a second
 * message, in the opposite direction. A sender that records a failure or a refusal may have done so
 * before the receiver completed the request, so that event yields no message.
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
    MessageMatcher matcher = new MessageMatcher(processes);
    for (int p = 0; p < processes.size(); p++) {
      matcher.matchSentBy(p);
    }
    return List.copyOf(matcher.matched);
  }

  private static Map<String, List<Integer>> indexesByRequest(List<Event> events) {
    Map<String, List<Integer>> indexes = new HashMap<>();
    for (int i = 0; i < events.size(); i++) {
      String request = events.get(i).request();
      if (!request.isEmpty()) {
        indexes.computeIfAbsent(request, ignored -> new ArrayList<>()).add(i);
      }
    }
    return indexes;
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

  /**
   * The detail of a RECEIVED event names the VM that forwarded the request; it is empty if the
   * request came from a caller.
   */
  private int firstReceipt(int receiver, List<Integer> indexes, int sender) {
    String name = processes.get(sender).vm();
    for (int index : indexes) {
      Event event = processes.get(receiver).events().get(index);
      if (event.kind() == EventKind.RECEIVED && event.detail().equals(name)) {
        return index;
      }
    }
    return -1;
  }

  private int firstAnswer(int process, List<Integer> indexes, int afterIndex) {
    for (int index : indexes) {
      EventKind kind = processes.get(process).events().get(index).kind();
      if (index > afterIndex && kind == EventKind.ANSWERED) {
        return index;
      }
    }
    return -1;
  }

  private int firstCompletion(int process, List<Integer> indexes, int afterIndex) {
    for (int index : indexes) {
      EventKind kind = processes.get(process).events().get(index).kind();
      boolean end =
          kind == EventKind.ANSWERED || kind == EventKind.REFUSED || kind == EventKind.FAILED;
      if (index > afterIndex && end) {
        return index;
      }
    }
    return -1;
  }
}
