package org.guavagw.internal.quality;

/**
 * Expected rating with a credible interval. Immutable; lower &le; mean &le; upper.
 *
 * @param samples weight of the ratings behind the estimate, after decay
 */
public record QualityEstimate(double mean, double lower, double upper, double samples) {}
