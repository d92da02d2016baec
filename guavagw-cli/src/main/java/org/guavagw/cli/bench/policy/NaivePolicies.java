package org.guavagw.cli.bench.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Policies that learn nothing. Stateless, but for the random one. */
final class NaivePolicies {
  private NaivePolicies() {}

  static ServingPolicy always(ModelAnswers answers, int model) {
    return request -> Served.by(answers.answer(request, model));
  }

  static ServingPolicy random(ModelAnswers answers, long seed) {
    UniformRandomProvider rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    return request -> Served.by(answers.answer(request, rng.nextInt(answers.models())));
  }

  /** From cheap to strong until an answer is rated at the target; unrated answers are accepted. */
  static ServingPolicy fixedCascade(ModelAnswers answers) {
    return request -> {
      long cost = 0;
      double latency = 0;
      for (int model = 0; ; model++) {
        FakeAnswer answer = answers.answer(request, model);
        cost += answer.costMicros();
        latency += answer.latencySeconds();
        boolean last = model == answers.models() - 1;
        boolean passes =
            !answer.isRatedInTime() || answer.rating() >= request.taskClass().qualityTarget();
        if (last || (passes && !answer.failed())) {
          return new Served(answer.rating(), cost, latency, model + 1);
        }
      }
    };
  }
}
