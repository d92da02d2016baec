package org.guavagw.cli.bench.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Serving policies without learning. Stateless except for the random policy. */
final class BaselineServingPolicies {
  private BaselineServingPolicies() {}

  static ServingPolicy always(ModelAnswers answers, int model) {
    return request -> ServingResult.ofSingleAttempt(answers.answer(request, model));
  }

  static ServingPolicy random(ModelAnswers answers, long seed) {
    UniformRandomProvider rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    return request ->
        ServingResult.ofSingleAttempt(answers.answer(request, rng.nextInt(answers.models())));
  }

  /** Escalates from the cheapest model until a rating meets the target; accepts unrated answers. */
  static ServingPolicy fixedCascade(ModelAnswers answers) {
    return request -> {
      long cost = 0;
      double latency = 0;
      for (int model = 0; ; model++) {
        SimulatedAnswer answer = answers.answer(request, model);
        cost += answer.costMicros();
        latency += answer.latencySeconds();
        boolean last = model == answers.models() - 1;
        boolean passes =
            !answer.isRatedInTime() || answer.rating() >= request.taskClass().qualityTarget();
        if (last || (passes && !answer.failed())) {
          return new ServingResult(answer.rating(), cost, latency, model + 1);
        }
      }
    };
  }
}
