package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;

/** Answers of each model, at its only version, to each request of a run. Immutable. */
final class ModelAnswers {
  private static final String VERSION = "v1";

  private final Workload workload;
  private final AnswerWorld world;
  private final List<List<FakeAnswer>> byRequest = new ArrayList<>();

  ModelAnswers(Workload workload, AnswerWorld world, List<BenchRequest> requests) {
    this.workload = workload;
    this.world = world;
    for (BenchRequest request : requests) {
      List<FakeAnswer> answers = new ArrayList<>();
      for (int model = 0; model < models(); model++) {
        answers.add(world.answer(request, version(model)));
      }
      byRequest.add(answers);
    }
  }

  Workload workload() {
    return workload;
  }

  AnswerWorld world() {
    return world;
  }

  int models() {
    return workload.models().size();
  }

  VersionRef version(int model) {
    return new VersionRef(workload.models().get(model), VERSION);
  }

  FakeAnswer answer(BenchRequest request, int model) {
    return byRequest.get((int) request.id()).get(model);
  }
}
