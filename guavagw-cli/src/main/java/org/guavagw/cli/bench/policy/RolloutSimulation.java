package org.guavagw.cli.bench.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.rollout.VersionChoice;
import org.guavagw.internal.rollout.VersionChooser;
import org.guavagw.internal.rollout.VersionOutcome;

/** Simulates requests during a rollout in virtual time. Used once, by one thread. */
final class RolloutSimulation {
  private static final double EVALUATION_INTERVAL_SECONDS = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final SimulatedControlPlane controlPlane;
  private final RolloutPolicy policy;
  private final AnswerSimulator simulator;
  private final VersionRef watched;
  private final VersionChooser chooser = new VersionChooser();
  private final Map<String, String> sessions = new HashMap<>();
  private final PriorityQueue<PendingRating> pendingRatings =
      new PriorityQueue<>(Comparator.comparingDouble(PendingRating::atSeconds));
  private final RolloutTrace trace = new RolloutTrace();
  private double nextEvaluation = EVALUATION_INTERVAL_SECONDS;

  RolloutSimulation(
      SimulatedControlPlane controlPlane,
      RolloutPolicy policy,
      AnswerSimulator simulator,
      VersionRef watched) {
    this.controlPlane = controlPlane;
    this.policy = policy;
    this.simulator = simulator;
    this.watched = watched;
  }

  RolloutTrace run(List<BenchRequest> requests) {
    for (BenchRequest request : requests) {
      evaluateUntil(request.atSeconds());
      serve(request);
    }
    return trace;
  }

  private void evaluateUntil(double now) {
    while (nextEvaluation <= now) {
      deliverRatings(nextEvaluation);
      int before = controlPlane.appliedActions().size();
      policy.evaluate(nextEvaluation);
      for (int i = before; i < controlPlane.appliedActions().size(); i++) {
        trace.onAction(nextEvaluation, controlPlane.appliedActions().get(i));
      }
      nextEvaluation += EVALUATION_INTERVAL_SECONDS;
    }
  }

  private void deliverRatings(double now) {
    while (!pendingRatings.isEmpty() && pendingRatings.peek().atSeconds() <= now) {
      PendingRating r = pendingRatings.poll();
      policy.observe(r.entry(), r.outcome());
    }
  }

  private void serve(BenchRequest request) {
    Optional<String> pinned = Optional.ofNullable(sessions.get(request.stickyKey()));
    VersionChoice choice =
        chooser.choose(controlPlane.config(), watched.model(), request.stickyKey(), pinned).get();
    sessions.put(request.stickyKey(), choice.version().version());
    SimulatedAnswer answer = simulator.answer(request, choice.version());
    trace.served(request, choice.version().equals(watched), answer);
    int entry = (int) (request.id() % SequentialPolicy.ENTRIES);
    String taskClass = request.taskClass().name();
    policy.observe(
        entry,
        VersionOutcome.answered(
            choice.version(),
            taskClass,
            answer.failed(),
            Duration.ofNanos((long) (answer.latencySeconds() * NANOS_PER_SECOND)),
            OptionalDouble.empty()));
    if (answer.isEverRated()) {
      VersionOutcome rated = VersionOutcome.rated(choice.version(), taskClass, answer.rating());
      pendingRatings.add(
          new PendingRating(request.atSeconds() + answer.ratingDelaySeconds(), entry, rated));
    }
  }

  /** A rating that has not yet reached its entry. Immutable. */
  private record PendingRating(double atSeconds, int entry, VersionOutcome outcome) {}
}
