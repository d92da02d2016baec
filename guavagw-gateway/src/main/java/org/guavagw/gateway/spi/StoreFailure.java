package org.guavagw.gateway.spi;

/** Why a call to the store brought nothing. */
public final class StoreFailure extends Exception {
  /** Kinds of failure that callers tell apart. */
  public enum Kind {
    /** The store refused the call; nothing was done. */
    REFUSED,
    /** No usable answer came; a write may have been done or may still be done. */
    NO_ANSWER,
    /** The versions asked for are no longer kept. */
    HISTORY_LOST,
    /** A row had another version than the write expected. */
    CONFLICT
  }

  private final Kind kind;

  /** A failure of a kind. */
  public StoreFailure(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** What kind of failure it is. */
  public Kind kind() {
    return kind;
  }
}
