package org.guavagw.platform;

/** How a call to the platform failed. Immutable. */
public record PlatformFailure(Kind kind, String reason) {

  /** What the caller of a failed platform call may assume. */
  public enum Kind {
    /** The call had no effect: nothing was sent, or the platform refused it. */
    NOT_APPLIED,
    /** The call may have taken effect; read back before repeating it. */
    UNKNOWN
  }

  /** A call that certainly had no effect. */
  public static PlatformFailure notApplied(String reason) {
    return new PlatformFailure(Kind.NOT_APPLIED, reason);
  }

  /** A call whose effect is unknown. */
  public static PlatformFailure unknown(String reason) {
    return new PlatformFailure(Kind.UNKNOWN, reason);
  }
}
