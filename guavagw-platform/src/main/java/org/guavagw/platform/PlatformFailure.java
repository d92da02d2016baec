package org.guavagw.platform;

/** Failure of a call to the platform. Immutable. */
public record PlatformFailure(Kind kind, String reason) {

  /** Whether a failed call may have taken effect. */
  public enum Kind {
    /** The call had no effect: nothing was sent, or the platform refused it. */
    NOT_APPLIED,
    /** The call may have taken effect; read the state back before a retry. */
    UNKNOWN
  }

  /** Returns the failure of a call that had no effect. */
  public static PlatformFailure notApplied(String reason) {
    return new PlatformFailure(Kind.NOT_APPLIED, reason);
  }

  /** Returns the failure of a call that may have taken effect. */
  public static PlatformFailure unknown(String reason) {
    return new PlatformFailure(Kind.UNKNOWN, reason);
  }
}
