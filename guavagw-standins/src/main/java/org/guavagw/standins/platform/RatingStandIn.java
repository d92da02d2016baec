package org.guavagw.standins.platform;

import io.vavr.control.Either;
import java.util.OptionalDouble;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.RatingService;
import org.guavagw.standins.engine.AnswerText;
import org.guavagw.standins.fault.CallFaultInjector;

/**
 * Rates answers of the engine stand-in by the quality that they are marked with, plus seeded noise;
 * an answer without a marker is worth 0. Late, sampled or down as scripted. Thread-safe.
 */
public final class RatingStandIn implements RatingService {
  private final double noise;
  private final UniformRandomProvider random;
  private final ZigguratSampler.NormalizedGaussian gaussian;
  private final CallFaultInjector faults;
  private volatile double sampledShare = 1;

  /** Rates with noise of a standard deviation. */
  public RatingStandIn(double noise, long seed) {
    this.noise = noise;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    this.faults = new CallFaultInjector(seed);
  }

  /** Faults that can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  /** Rates only a share of the answers and declines the others. */
  public void sample(double share) {
    sampledShare = share;
  }

  @Override
  public Either<PlatformFailure, Double> rate(AnswerSample sample) {
    return faults.call(() -> rateOrDecline(sample));
  }

  private synchronized Either<PlatformFailure, Double> rateOrDecline(AnswerSample sample) {
    if (random.nextDouble() >= sampledShare) {
      return Either.left(PlatformFailure.notApplied("not sampled"));
    }
    OptionalDouble quality = AnswerText.quality(sample.answer());
    if (quality.isEmpty()) {
      return Either.right(0.0);
    }
    double noisy = quality.getAsDouble() + noise * gaussian.sample();
    return Either.right(Math.min(1, Math.max(0, noisy)));
  }
}
