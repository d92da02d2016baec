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
 * A simulated rating service. It rates answers of the engine stand-in by their quality marker plus
 * seeded noise; an answer without a marker is rated 0. Delays, sampling and faults can be set.
 * Thread-safe.
 */
public final class RatingStandIn implements RatingService {
  private final double noise;
  private final UniformRandomProvider random;
  private final ZigguratSampler.NormalizedGaussian gaussian;
  private final CallFaultInjector faults;
  private volatile double ratedFraction = 1;

  /** Creates a service; {@code noise} is the standard deviation of the ratings. */
  public RatingStandIn(double noise, long seed) {
    this.noise = noise;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    this.faults = new CallFaultInjector(seed);
  }

  /** Returns the faults, which can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  /** Sets the fraction of answers that are rated; the others are declined. */
  public void sample(double share) {
    ratedFraction = share;
  }

  @Override
  public Either<PlatformFailure, Double> rate(AnswerSample sample) {
    return faults.call(() -> rateOrDecline(sample));
  }

  private synchronized Either<PlatformFailure, Double> rateOrDecline(AnswerSample sample) {
    if (random.nextDouble() >= ratedFraction) {
      return Either.left(PlatformFailure.notApplied("answer not sampled"));
    }
    OptionalDouble quality = AnswerText.quality(sample.answer());
    if (quality.isEmpty()) {
      return Either.right(0.0);
    }
    double noisy = quality.getAsDouble() + noise * gaussian.sample();
    return Either.right(Math.min(1, Math.max(0, noisy)));
  }
}
