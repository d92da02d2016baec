package org.guavagw.internal.rollout;

/**
 * Compares two bad rates at any time and as often as wanted. Implementations are stateless and
 * thread-safe.
 */
public interface SequentialTest {
  /**
   * Evidence that the first rate exceeds the second by more than the margin. While that is false,
   * the chance that the value ever reaches 1/p is at most p.
   *
   * @param margin difference that counts as none; negative to ask for evidence of no harm
   */
  double logEvidence(Tally first, Tally second, double margin);
}
