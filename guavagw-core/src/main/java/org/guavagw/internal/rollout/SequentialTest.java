package org.guavagw.internal.rollout;

/**
 * Sequential test that compares two bad rates; its result stays valid however often it is evaluated
 * while trials are added. Implementations are stateless and thread-safe.
 */
public interface SequentialTest {
  /**
   * Returns the natural logarithm of the evidence that the first rate exceeds the second by more
   * than the margin. If it does not, the probability that the evidence ever reaches 1/p is at most
   * p.
   *
   * @param margin difference to ignore; a negative margin tests for evidence of no harm
   */
  double logEvidence(Tally first, Tally second, double margin);
}
