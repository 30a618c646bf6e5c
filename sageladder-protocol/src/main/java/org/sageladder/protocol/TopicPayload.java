package org.sageladder.protocol;

/**
 * A small payload that the inner protocol carries without knowing its form.
 *
 * @param topic names the part that reads it, 1 to {@value #LONGEST_TOPIC} characters
 * @param content at most {@value #LARGEST_CONTENT} bytes; must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record TopicPayload(String topic, byte[] content) {
  /** Longest name of a topic. */
  public static final int LONGEST_TOPIC = 64;

  /** Largest content, so that payloads cannot crowd out contracts. */
  public static final int LARGEST_CONTENT = 64 * 1024;

  /** Checks the sizes. */
  public TopicPayload {
    if (topic.isEmpty() || topic.length() > LONGEST_TOPIC) {
      throw new IllegalArgumentException(
          "topic '" + topic + "' has " + topic.length() + " characters; use 1 to " + LONGEST_TOPIC);
    }
    if (content.length > LARGEST_CONTENT) {
      throw new IllegalArgumentException(
          "payload of topic '"
              + topic
              + "' has "
              + content.length
              + " bytes; at most "
              + LARGEST_CONTENT
              + " are carried");
    }
  }
}
