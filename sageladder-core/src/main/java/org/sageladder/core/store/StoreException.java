package org.sageladder.core.store;

/** A store call that gave no result. */
public abstract sealed class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  private StoreException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The call did not take effect: refused, or never sent. */
  public static final class Unavailable extends StoreException {
    private static final long serialVersionUID = 1L;

    /** An outage, with what was tried and why it failed. */
    public Unavailable(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * The call was sent and no answer came, so a write may have taken effect. Read back and compare
   * the change id before trying again.
   */
  public static final class OutcomeUnknown extends StoreException {
    private static final long serialVersionUID = 1L;

    /** A lost answer, with what was tried and why no answer came. */
    public OutcomeUnknown(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
