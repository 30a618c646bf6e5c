package org.sageladder.protocol;

/**
 * A small payload that the inner protocol carries without knowing its form.
 *
 * @param topic names the part that reads it, 1 to {@value #MAX_TOPIC_LENGTH} characters
 * @param content at most {@value #MAX_CONTENT_BYTES} bytes; must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record TopicPayload(String topic, byte[] content) {
  /** Longest name of a topic. */
  public static final int MAX_TOPIC_LENGTH = 64;

  /** Largest content, so that payloads cannot crowd out contracts. */
  public static final int MAX_CONTENT_BYTES = 64 * 1024;

  /** Checks the sizes. */
  public TopicPayload {
    if (topic.isEmpty() || topic.length() > MAX_TOPIC_LENGTH) {
      throw new IllegalArgumentException(
          "topic '"
              + topic
              + "' has "
              + topic.length()
              + " characters; use 1 to "
              + MAX_TOPIC_LENGTH);
    }
    if (content.length > MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException(
          "payload of topic '"
              + topic
              + "' has "
              + content.length
              + " bytes; at most "
              + MAX_CONTENT_BYTES
              + " are carried");
    }
  }
}
