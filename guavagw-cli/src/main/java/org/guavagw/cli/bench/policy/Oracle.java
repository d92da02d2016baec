package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleFunction;

/**
 * Policies that know the rating of every answer before they pay for one. Each serves with one call.
 *
 * <p>Invariant: the mean rating of each task class is at least its target, and no more above it
 * than the search leaves. Immutable after construction.
 */
final class Oracle {
  private static final int SEARCH_STEPS = 24;
  private static final double HIGHEST_LOG_PRICE = Math.log(1e9);

  private final ModelAnswers answers;
  private final Map<TaskMix, List<BenchRequest>> byClass = new HashMap<>();

  Oracle(ModelAnswers answers, List<BenchRequest> requests) {
    this.answers = answers;
    for (BenchRequest request : requests) {
      byClass.computeIfAbsent(request.taskClass(), c -> new ArrayList<>()).add(request);
    }
  }

  /** The cheapest model whose answer is rated at a threshold; the best answer where none is. */
  ServingPolicy cheapestPassing() {
    return calibrated(threshold -> request -> passing(request, threshold), 1);
  }

  /** The model with the best rating at a price of quality: no policy costs less at the target. */
  ServingPolicy lowerBound() {
    return calibrated(log -> request -> best(request, Math.exp(log)), HIGHEST_LOG_PRICE);
  }

  private ServingPolicy calibrated(DoubleFunction<ServingPolicy> family, double highest) {
    Map<TaskMix, ServingPolicy> policies = new HashMap<>();
    byClass.forEach(
        (mix, requests) -> {
          double low = 0;
          double high = highest;
          for (int i = 0; i < SEARCH_STEPS; i++) {
            double middle = (low + high) / 2;
            boolean meets = meanQuality(family.apply(middle), requests) >= mix.qualityTarget();
            low = meets ? low : middle;
            high = meets ? middle : high;
          }
          policies.put(mix, family.apply(high));
        });
    return request -> policies.get(request.taskClass()).serve(request);
  }

  private static double meanQuality(ServingPolicy policy, List<BenchRequest> requests) {
    return requests.stream().mapToDouble(r -> policy.serve(r).quality()).average().orElse(0);
  }

  private Served passing(BenchRequest request, double threshold) {
    FakeAnswer best = answers.answer(request, 0);
    for (int model = 0; model < answers.models(); model++) {
      FakeAnswer answer = answers.answer(request, model);
      if (answer.rating() >= threshold) {
        return Served.by(answer);
      }
      best = answer.rating() > best.rating() ? answer : best;
    }
    return Served.by(best);
  }

  private Served best(BenchRequest request, double price) {
    FakeAnswer best = answers.answer(request, 0);
    for (int model = 1; model < answers.models(); model++) {
      FakeAnswer answer = answers.answer(request, model);
      best = gain(answer, price) > gain(best, price) ? answer : best;
    }
    return Served.by(best);
  }

  private static double gain(FakeAnswer answer, double price) {
    return price * answer.rating() - answer.costMicros();
  }
}
