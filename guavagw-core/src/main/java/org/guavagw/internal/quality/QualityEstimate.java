package org.guavagw.internal.quality;

/**
 * Expected rating with a credible interval; lower &le; mean &le; upper. Immutable.
 *
 * @param samples decayed number of ratings that the estimate is based on
 */
public record QualityEstimate(double mean, double lower, double upper, double samples) {}
