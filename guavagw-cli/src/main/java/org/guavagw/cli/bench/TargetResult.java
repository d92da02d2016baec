package org.guavagw.cli.bench;

/** A bound that was set beforehand and what was measured against it. Immutable. */
public record TargetResult(String target, double bound, double measured, boolean met) {
  /** A target that is met by measuring no more than the bound. */
  public static TargetResult atMost(String target, double bound, double measured) {
    return new TargetResult(target, bound, measured, measured <= bound);
  }

  /** A target that is met by measuring no less than the bound. */
  public static TargetResult atLeast(String target, double bound, double measured) {
    return new TargetResult(target, bound, measured, measured >= bound);
  }
}
