package org.sageladder.protocol;

/** Thrown when a peer violates the inner protocol; its connection is closed. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /** The reason for which a connection was dropped; drops are counted by reason. */
  public enum Reason {
    /** The frame is longer than the limit. */
    TOO_LARGE,
    /** Not a valid message, or one without a required field. */
    MALFORMED,
    /** A message kind or enum value that this version does not know. */
    UNKNOWN_KIND,
    /** The peers have no protocol version in common. */
    VERSION,
    /**
     * The MAC is wrong, the key is unknown, or the peer belongs to another customer or expects
     * another VM.
     */
    NOT_AUTHENTIC,
    /** The peer did not complete the handshake in time. */
    SLOW_HANDSHAKE
  }

  /** Creates an exception whose message says what was found and what was expected. */
  public ProtocolException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** The reason under which the drop is counted. */
  public Reason reason() {
    return reason;
  }
}
