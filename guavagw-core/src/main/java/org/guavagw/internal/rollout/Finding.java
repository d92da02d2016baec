package org.guavagw.internal.rollout;

/**
 * Statistical evidence that a version has become worse than a reference. Immutable.
 *
 * @param logEvidence natural logarithm of the test statistic
 */
public record Finding(
    Signal signal, String taskClass, Tally suspect, Tally reference, double logEvidence) {}
