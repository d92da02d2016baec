package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;

/** Precomputed answers of all models to all requests; each model has one version. Immutable. */
final class ModelAnswers {
  private static final String VERSION = "v1";

  private final WorkloadProfile workload;
  private final AnswerSimulator simulator;
  private final List<List<SimulatedAnswer>> byRequest = new ArrayList<>();

  ModelAnswers(WorkloadProfile workload, AnswerSimulator simulator, List<BenchRequest> requests) {
    this.workload = workload;
    this.simulator = simulator;
    for (BenchRequest request : requests) {
      List<SimulatedAnswer> answers = new ArrayList<>();
      for (int model = 0; model < models(); model++) {
        answers.add(simulator.answer(request, version(model)));
      }
      byRequest.add(answers);
    }
  }

  WorkloadProfile workload() {
    return workload;
  }

  AnswerSimulator simulator() {
    return simulator;
  }

  int models() {
    return workload.models().size();
  }

  VersionRef version(int model) {
    return new VersionRef(workload.models().get(model), VERSION);
  }

  SimulatedAnswer answer(BenchRequest request, int model) {
    return byRequest.get((int) request.id()).get(model);
  }
}
