package org.guavagw.cli.bench.policy;

import com.google.common.hash.Hashing;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.config.VersionRef;

/**
 * Simulates the answers of engines. An answer depends only on the seed, the request and the
 * version, so every policy sees the same answers. Immutable and thread-safe.
 */
final class AnswerSimulator {
  private static final double SLOPE = 1.5;
  private static final double RATING_NOISE = 0.5;
  private static final double SIGNAL_NOISE = 1.5;
  private static final double TEAM_SPREAD = 0.15;
  private static final double BASE_ERROR_CHANCE = 0.003;
  private static final double LATENCY_SPREAD = 0.25;
  private static final double BASE_LATENCY_SECONDS = 0.1;
  private static final double TOKENS_PER_SPEED_UNIT = 1_000;

  private final WorkloadProfile workload;
  private final RatingAvailability ratings;
  private final List<VersionFault> faults;
  private final long seed;

  AnswerSimulator(
      WorkloadProfile workload, RatingAvailability ratings, List<VersionFault> faults, long seed) {
    this.workload = workload;
    this.ratings = ratings;
    this.faults = List.copyOf(faults);
    this.seed = seed;
  }

  SimulatedAnswer answer(BenchRequest request, VersionRef version) {
    UniformRandomProvider rng = rng(request.id(), version.hashCode());
    int model = workload.modelIndex(version.model());
    double skill = request.taskClass().skills().get(model) + teamOffset(request, model);
    double errorChance = BASE_ERROR_CHANCE;
    double latencyFactor = 1;
    for (VersionFault fault : faults) {
      if (fault.affects(version, request)) {
        skill += fault.skillChange();
        errorChance += fault.errorChance();
        latencyFactor *= fault.latencyFactor();
      }
    }
    boolean failed = rng.nextDouble() < errorChance;
    double logit =
        SLOPE * (skill - request.difficulty()) + RATING_NOISE * RequestStream.gaussian(rng);
    double signal = logistic(logit + SIGNAL_NOISE * RequestStream.gaussian(rng));
    double ratingDraw = rng.nextDouble();
    double delay = -ratings.meanDelaySeconds() * Math.log(1 - rng.nextDouble());
    boolean unavailable = failed || ratings.isOutage(request.atSeconds());
    boolean inTime = !unavailable && ratingDraw < ratings.inTimeShare();
    boolean late =
        !unavailable && !inTime && ratingDraw < ratings.inTimeShare() + ratings.lateShare();
    double latency = latency(request, model, rng) * latencyFactor;
    return new SimulatedAnswer(
        failed,
        failed ? 0 : logistic(logit),
        signal,
        inTime,
        inTime ? latency : late ? latency + delay : Double.POSITIVE_INFINITY,
        latency,
        failed ? 0 : costMicros(request, model));
  }

  long costMicros(BenchRequest request, int model) {
    return workload.prices().get(model).costMicros(request.inputTokens(), request.outputTokens());
  }

  double expectedLatency(BenchRequest request, int model) {
    return BASE_LATENCY_SECONDS
        + request.outputTokens()
            * workload.secondsPerThousandTokens().get(model)
            / TOKENS_PER_SPEED_UNIT;
  }

  private double latency(BenchRequest request, int model, UniformRandomProvider rng) {
    return expectedLatency(request, model) * Math.exp(LATENCY_SPREAD * RequestStream.gaussian(rng));
  }

  private double teamOffset(BenchRequest request, int model) {
    return TEAM_SPREAD * RequestStream.gaussian(rng(-1 - request.team(), model));
  }

  private UniformRandomProvider rng(long id, int salt) {
    long mixed =
        Hashing.murmur3_128().newHasher().putLong(seed).putLong(id).putInt(salt).hash().asLong();
    return RandomSource.SPLIT_MIX_64.create(mixed);
  }

  private static double logistic(double x) {
    return 1 / (1 + Math.exp(-x));
  }
}
