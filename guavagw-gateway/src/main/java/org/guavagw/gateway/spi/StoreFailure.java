package org.guavagw.gateway.spi;

import java.util.OptionalLong;

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
  private final OptionalLong era;

  /** Creates a failure without an answer of the store. */
  public StoreFailure(Kind kind, String message) {
    this(kind, message, OptionalLong.empty());
  }

  /** Creates a failure that the store answered in an era. */
  public StoreFailure(Kind kind, String message, OptionalLong era) {
    super(message, null, false, false);
    this.kind = kind;
    this.era = era;
  }

  /** Returns the kind of failure. */
  public Kind kind() {
    return kind;
  }

  /** Returns the era of the store's answer, if there was one. */
  public OptionalLong era() {
    return era;
  }
}
