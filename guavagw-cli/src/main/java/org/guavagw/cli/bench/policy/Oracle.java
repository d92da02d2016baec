package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleFunction;

/**
 * Policies that know the rating of every answer in advance and make one attempt per request.
 *
 * <p>Invariant: the mean rating of each task class meets its target, and exceeds it only by the
 * tolerance of the search. Immutable after construction.
 */
final class Oracle {
  private static final int SEARCH_STEPS = 24;
  private static final double HIGHEST_LOG_PRICE = Math.log(1e9);

  private final ModelAnswers answers;
  private final Map<TaskClassProfile, List<BenchRequest>> byClass = new HashMap<>();

  Oracle(ModelAnswers answers, List<BenchRequest> requests) {
    this.answers = answers;
    for (BenchRequest request : requests) {
      byClass.computeIfAbsent(request.taskClass(), c -> new ArrayList<>()).add(request);
    }
  }

  /**
   * Uses the cheapest model whose rating reaches a threshold, or the best-rated one if none does.
   */
  ServingPolicy cheapestPassing() {
    return calibrated(threshold -> request -> passing(request, threshold), 1);
  }

  /** Maximizes price times rating minus cost; no policy that meets the target is cheaper. */
  ServingPolicy lowerBound() {
    return calibrated(log -> request -> best(request, Math.exp(log)), HIGHEST_LOG_PRICE);
  }

  private ServingPolicy calibrated(DoubleFunction<ServingPolicy> family, double highest) {
    Map<TaskClassProfile, ServingPolicy> policies = new HashMap<>();
    byClass.forEach(
        (taskClass, requests) -> {
          double low = 0;
          double high = highest;
          for (int i = 0; i < SEARCH_STEPS; i++) {
            double middle = (low + high) / 2;
            boolean meets =
                meanQuality(family.apply(middle), requests) >= taskClass.qualityTarget();
            low = meets ? low : middle;
            high = meets ? middle : high;
          }
          policies.put(taskClass, family.apply(high));
        });
    return request -> policies.get(request.taskClass()).serve(request);
  }

  private static double meanQuality(ServingPolicy policy, List<BenchRequest> requests) {
    return requests.stream().mapToDouble(r -> policy.serve(r).quality()).average().orElse(0);
  }

  private ServingResult passing(BenchRequest request, double threshold) {
    SimulatedAnswer best = answers.answer(request, 0);
    for (int model = 0; model < answers.models(); model++) {
      SimulatedAnswer answer = answers.answer(request, model);
      if (answer.rating() >= threshold) {
        return ServingResult.ofSingleAttempt(answer);
      }
      best = answer.rating() > best.rating() ? answer : best;
    }
    return ServingResult.ofSingleAttempt(best);
  }

  private ServingResult best(BenchRequest request, double price) {
    SimulatedAnswer best = answers.answer(request, 0);
    for (int model = 1; model < answers.models(); model++) {
      SimulatedAnswer answer = answers.answer(request, model);
      best = gain(answer, price) > gain(best, price) ? answer : best;
    }
    return ServingResult.ofSingleAttempt(best);
  }

  private static double gain(SimulatedAnswer answer, double price) {
    return price * answer.rating() - answer.costMicros();
  }
}
