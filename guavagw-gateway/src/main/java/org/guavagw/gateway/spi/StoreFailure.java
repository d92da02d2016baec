package org.guavagw.gateway.spi;

/** Thrown when a call to the store fails. */
public final class StoreFailure extends Exception {
  /** Kinds of failure that are handled differently. */
  public enum Kind {
    /** The store rejected the call without executing it. */
    REFUSED,
    /** No valid answer was received; a write may have been executed or may still be executed. */
    NO_ANSWER,
    /** The store no longer keeps the requested versions. */
    HISTORY_LOST,
    /** The row does not have the version that the write expected. */
    CONFLICT
  }

  private final Kind kind;

  /** Creates a failure of the given kind. */
  public StoreFailure(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind of failure. */
  public Kind kind() {
    return kind;
  }
}
