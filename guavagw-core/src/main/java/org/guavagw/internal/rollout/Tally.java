package org.guavagw.internal.rollout;

/**
 * Number of trials and sum of their bad outcomes. Immutable; 0 &le; bad &le; trials.
 *
 * @param bad sum of one value per trial, from 0 (good) to 1 (bad)
 */
public record Tally(double trials, double bad) {
  /** A tally without trials. */
  public static final Tally NONE = new Tally(0, 0);

  /** Returns the sum of both tallies. */
  public Tally plus(Tally other) {
    return new Tally(trials + other.trials, bad + other.bad);
  }

  /** Returns the trials added since an earlier tally. */
  public Tally minus(Tally earlier) {
    return new Tally(Math.max(0, trials - earlier.trials), Math.max(0, bad - earlier.bad));
  }

  /** Returns the bad rate, or the fallback if there are no trials. */
  public double rate(double fallback) {
    return trials > 0 ? bad / trials : fallback;
  }

  /** Returns this tally with its trials weighted by a factor. */
  public Tally scaled(double factor) {
    return new Tally(trials * factor, bad * factor);
  }

  /** Returns the same trials with good and bad exchanged. */
  public Tally complement() {
    return new Tally(trials, trials - bad);
  }

  /** Returns this tally with one more trial added. */
  public Tally plusTrial(double badness) {
    return new Tally(trials + 1, bad + badness);
  }
}
