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

/** Sends requests through a rollout in virtual time. Used once, by one thread. */
final class RolloutRun {
  private static final double PASS_SECONDS = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ControlDesk desk;
  private final RolloutPolicy policy;
  private final AnswerWorld world;
  private final VersionRef watched;
  private final VersionChooser chooser = new VersionChooser();
  private final Map<String, String> sessions = new HashMap<>();
  private final PriorityQueue<LateRating> late =
      new PriorityQueue<>(Comparator.comparingDouble(LateRating::atSeconds));
  private final RolloutTrace trace = new RolloutTrace();
  private double nextPass = PASS_SECONDS;

  RolloutRun(ControlDesk desk, RolloutPolicy policy, AnswerWorld world, VersionRef watched) {
    this.desk = desk;
    this.policy = policy;
    this.world = world;
    this.watched = watched;
  }

  RolloutTrace run(List<BenchRequest> requests) {
    for (BenchRequest request : requests) {
      passUntil(request.atSeconds());
      serve(request);
    }
    return trace;
  }

  private void passUntil(double now) {
    while (nextPass <= now) {
      deliverRatings(nextPass);
      int before = desk.done().size();
      policy.pass(nextPass);
      for (int i = before; i < desk.done().size(); i++) {
        trace.acted(nextPass, desk.done().get(i));
      }
      nextPass += PASS_SECONDS;
    }
  }

  private void deliverRatings(double now) {
    while (!late.isEmpty() && late.peek().atSeconds() <= now) {
      LateRating r = late.poll();
      policy.observe(r.entry(), r.outcome());
    }
  }

  private void serve(BenchRequest request) {
    Optional<String> pinned = Optional.ofNullable(sessions.get(request.stickyKey()));
    VersionChoice choice =
        chooser.choose(desk.config(), watched.model(), request.stickyKey(), pinned).get();
    sessions.put(request.stickyKey(), choice.version().version());
    FakeAnswer answer = world.answer(request, choice.version());
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
      late.add(new LateRating(request.atSeconds() + answer.ratingDelaySeconds(), entry, rated));
    }
  }

  /** A rating on its way to an entry. Immutable. */
  private record LateRating(double atSeconds, int entry, VersionOutcome outcome) {}
}
