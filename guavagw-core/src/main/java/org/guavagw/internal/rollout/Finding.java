package org.guavagw.internal.rollout;

/**
 * Evidence against a version. Immutable.
 *
 * @param logEvidence natural logarithm of the test's value
 */
public record Finding(
    Signal signal, String taskClass, Tally suspect, Tally reference, double logEvidence) {}
