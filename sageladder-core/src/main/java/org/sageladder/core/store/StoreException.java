package org.sageladder.core.store;

/** A store call that returned no result. */
public abstract sealed class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  private StoreException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The call did not take effect: it was refused or never sent. */
  public static final class Unavailable extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what was tried and why it failed. */
    public Unavailable(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * The call was sent and no answer arrived, so a write may have taken effect. Read the value back
   * and compare the change id before retrying.
   */
  public static final class OutcomeUnknown extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what was tried and why no answer arrived. */
    public OutcomeUnknown(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
