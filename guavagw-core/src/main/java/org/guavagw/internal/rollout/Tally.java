package org.guavagw.internal.rollout;

/**
 * How many of a number of trials went badly. Immutable; 0 &le; bad &le; trials.
 *
 * @param bad sum of values from 0 (good) to 1 (bad), one for each trial
 */
public record Tally(double trials, double bad) {
  /** No trials. */
  public static final Tally NONE = new Tally(0, 0);

  /** Trials of both. */
  public Tally plus(Tally other) {
    return new Tally(trials + other.trials, bad + other.bad);
  }

  /** Trials of this that are not in the earlier tally. */
  public Tally minus(Tally earlier) {
    return new Tally(Math.max(0, trials - earlier.trials), Math.max(0, bad - earlier.bad));
  }

  /** Share that went badly, or the fallback without trials. */
  public double rate(double fallback) {
    return trials > 0 ? bad / trials : fallback;
  }

  /** Trials at another weight. */
  public Tally scaled(double factor) {
    return new Tally(trials * factor, bad * factor);
  }

  /** The same trials with good and bad exchanged. */
  public Tally complement() {
    return new Tally(trials, trials - bad);
  }

  /** This tally and one more trial. */
  public Tally with(double badness) {
    return new Tally(trials + 1, bad + badness);
  }
}
