package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.spread.PeerMessages;

/** Dispatches payloads to the receivers registered for their topics; thread-safe. */
final class TopicDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, PeerMessages.Receiver> receiversByTopic = new ConcurrentHashMap<>();

  void register(String topic, PeerMessages.Receiver receiver) {
    receiversByTopic.put(topic, receiver);
  }

  /** Drops a payload whose topic has no receiver: its sender may run a later release. */
  void deliver(String from, String topic, byte[] content) {
    PeerMessages.Receiver receiver = receiversByTopic.get(topic);
    if (receiver == null) {
      logger.atFine().log("no receiver for topic '%s' from '%s'", topic, from);
      return;
    }
    try {
      receiver.receive(from, content);
    } catch (RuntimeException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "receiver failed on a payload of topic '%s' from '%s'", topic, from);
    }
  }
}
