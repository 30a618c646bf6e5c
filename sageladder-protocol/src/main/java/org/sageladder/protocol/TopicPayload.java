package org.sageladder.protocol;

/**
 * A small payload that is opaque to the inner protocol.
 *
 * @param topic name of the topic, which selects the component that reads the payload; 1 to {@value
 *     #MAX_TOPIC_LENGTH} characters
 * @param content at most {@value #MAX_CONTENT_BYTES} bytes; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record TopicPayload(String topic, byte[] content) {
  /** Maximum length of a topic name in characters. */
  public static final int MAX_TOPIC_LENGTH = 64;

  /** Maximum size of the content, so that payloads cannot crowd out contracts. */
  public static final int MAX_CONTENT_BYTES = 64 * 1024;

  /** Checks the length of the topic and the size of the content. */
  public TopicPayload {
    if (topic.isEmpty() || topic.length() > MAX_TOPIC_LENGTH) {
      throw new IllegalArgumentException(
          "topic '"
              + topic
              + "' has "
              + topic.length()
              + " characters; expected 1 to "
              + MAX_TOPIC_LENGTH);
    }
    if (content.length > MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException(
          "payload of topic '"
              + topic
              + "' has "
              + content.length
              + " bytes; expected at most "
              + MAX_CONTENT_BYTES
              + " bytes");
    }
  }
}
