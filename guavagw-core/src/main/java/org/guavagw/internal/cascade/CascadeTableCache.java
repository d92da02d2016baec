package org.guavagw.internal.cascade;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Caches the tables of one quality price for requests of different size.
 *
 * <p>The step costs of a request are approximated by a multiple of the mean costs, with multiples
 * rounded to a logarithmic grid. Tables are computed on first use. Thread-safe.
 */
final class CascadeTableCache {
  private static final double LOG_STEP = 0.1;
  private static final int HALF_GRID = 30;
  private static final int PRICES = 2;

  private final List<StepModel> models;
  private final double[] meanCosts;
  private final double meanTotal;
  private final double ratedShare;
  private final QualityPrice price;
  private final boolean[] allSteps;
  private final AtomicReferenceArray<CascadeTable> tables =
      new AtomicReferenceArray<>(PRICES * (2 * HALF_GRID + 1));

  CascadeTableCache(
      List<StepModel> models, List<double[]> costSamples, double ratedShare, QualityPrice price) {
    this.models = models;
    this.meanCosts = mean(costSamples, models.size());
    this.meanTotal = Arrays.stream(meanCosts).sum();
    this.ratedShare = ratedShare;
    this.price = price;
    this.allSteps = new boolean[models.size()];
    Arrays.fill(allSteps, true);
  }

  /** Returns the table for a request that may take every step. */
  CascadeTable table(double[] costs, double draw) {
    int scale = scale(costs);
    boolean high = price.isHigh(draw);
    int slot = (scale + HALF_GRID) * PRICES + (high ? 1 : 0);
    CascadeTable table = tables.get(slot);
    if (table == null) {
      table = solve(scaled(scale), allSteps, draw);
      tables.set(slot, table);
    }
    return table;
  }

  /** Computes the table for a request that may take only some of the steps. */
  CascadeTable solve(double[] costs, boolean[] usable, double draw) {
    return CascadeTable.solve(models, costs, usable, ratedShare, price.at(draw));
  }

  private int scale(double[] costs) {
    double total = 0;
    for (double cost : costs) {
      total += cost;
    }
    long steps = Math.round(Math.log(Math.max(total, 1e-9) / meanTotal) / LOG_STEP);
    return (int) Math.max(-HALF_GRID, Math.min(HALF_GRID, steps));
  }

  private double[] scaled(int scale) {
    double factor = Math.exp(scale * LOG_STEP);
    return Arrays.stream(meanCosts).map(c -> c * factor).toArray();
  }

  private static double[] mean(List<double[]> samples, int steps) {
    double[] mean = new double[steps];
    for (double[] sample : samples) {
      for (int i = 0; i < steps; i++) {
        mean[i] += sample[i] / samples.size();
      }
    }
    return mean;
  }
}
