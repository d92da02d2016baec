package org.guavagw.internal.cascade;

import java.util.Arrays;

/** Collected ratings of one version on one task class. Thread-safe. */
final class StepEvidence {
  private static final double SIGNAL_DECAY = 1 - 1.0 / 1_000;

  private final DecayingHistogram[] byContext = new DecayingHistogram[AnswerContext.COUNT];
  private final double[] signalWeights = new double[RatingBins.BINS];
  private final double[] signalSums = new double[RatingBins.BINS];
  private long ratingCount;

  StepEvidence() {
    Arrays.setAll(byContext, i -> new DecayingHistogram());
  }

  synchronized void add(CascadeObservation o) {
    AnswerContext context =
        o.previousQuality().isPresent()
            ? AnswerContext.after(o.previousQuality().getAsDouble())
            : AnswerContext.FIRST;
    byContext[context.index()].add(o.rating());
    if (o.engineSignal().isPresent()) {
      int bin = RatingBins.bin(o.engineSignal().getAsDouble());
      signalWeights[bin] = signalWeights[bin] * SIGNAL_DECAY + 1;
      signalSums[bin] = signalSums[bin] * SIGNAL_DECAY + o.rating();
    }
    ratingCount++;
  }

  synchronized long ratingCount() {
    return ratingCount;
  }

  synchronized StepModel model(double priorMean) {
    return StepModel.of(byContext, priorMean, EngineSignalModel.of(signalWeights, signalSums));
  }
}
