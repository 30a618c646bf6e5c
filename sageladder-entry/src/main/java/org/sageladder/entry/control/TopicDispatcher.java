package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.spread.PeerMessages;

/** Who takes the payloads of which topic; thread-safe. */
final class TopicDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, PeerMessages.Receiver> receiversByTopic = new ConcurrentHashMap<>();

  void register(String topic, PeerMessages.Receiver receiver) {
    receiversByTopic.put(topic, receiver);
  }

  /** A payload of a topic that nobody takes is dropped: its sender may be of a later release. */
  void deliver(String from, String topic, byte[] content) {
    PeerMessages.Receiver receiver = receiversByTopic.get(topic);
    if (receiver == null) {
      logger.atFine().log("nobody takes topic '%s' from '%s'", topic, from);
      return;
    }
    try {
      receiver.receive(from, content);
    } catch (RuntimeException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "a payload of topic '%s' from '%s' could not be used", topic, from);
    }
  }
}
