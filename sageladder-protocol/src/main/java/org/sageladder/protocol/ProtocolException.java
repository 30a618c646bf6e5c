package org.sageladder.protocol;

/** A peer sent what this version of the inner protocol does not accept; its connection ends. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /** Why a connection was dropped; each is counted. */
  public enum Reason {
    /** The frame's length is above the limit. */
    TOO_LARGE,
    /** Not a message, or one that lacks what it must have. */
    MALFORMED,
    /** A message kind or enum value that this version does not know. */
    UNKNOWN_KIND,
    /** No common version. */
    VERSION,
    /** The MAC does not fit, the key is unknown, or the peer is of another customer. */
    NOT_AUTHENTIC,
    /** The peer did not finish the handshake in time. */
    SLOW_HANDSHAKE
  }

  /** A refusal with what was found and what would have been accepted. */
  public ProtocolException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** What kind of refusal this is. */
  public Reason reason() {
    return reason;
  }
}
