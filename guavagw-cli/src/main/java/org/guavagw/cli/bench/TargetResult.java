package org.guavagw.cli.bench;

/** A predefined bound and the value measured against it. Immutable. */
public record TargetResult(String target, double bound, double measured, boolean met) {
  /** Creates the result of a target whose measured value must not exceed the bound. */
  public static TargetResult atMost(String target, double bound, double measured) {
    return new TargetResult(target, bound, measured, measured <= bound);
  }

  /** Creates the result of a target whose measured value must not be below the bound. */
  public static TargetResult atLeast(String target, double bound, double measured) {
    return new TargetResult(target, bound, measured, measured >= bound);
  }
}
