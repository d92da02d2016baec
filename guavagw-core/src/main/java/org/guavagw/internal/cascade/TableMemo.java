package org.guavagw.internal.cascade;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps the tables of one quality price for requests of different length.
 *
 * <p>Costs of a request are taken for a multiple of the mean costs, and multiples are rounded to a
 * grid. Tables are worked out on first use. Thread-safe.
 */
final class TableMemo {
  private static final double LOG_STEP = 0.1;
  private static final int HALF_GRID = 30;
  private static final int PRICES = 2;

  private final List<StepModel> models;
  private final double[] meanCosts;
  private final double meanTotal;
  private final double ratedShare;
  private final QualityPrice price;
  private final boolean[] all;
  private final AtomicReferenceArray<CascadeTable> tables =
      new AtomicReferenceArray<>(PRICES * (2 * HALF_GRID + 1));

  TableMemo(
      List<StepModel> models, List<double[]> costSamples, double ratedShare, QualityPrice price) {
    this.models = models;
    this.meanCosts = mean(costSamples, models.size());
    this.meanTotal = Arrays.stream(meanCosts).sum();
    this.ratedShare = ratedShare;
    this.price = price;
    this.all = new boolean[models.size()];
    Arrays.fill(all, true);
  }

  /** The table for a request to which every step is open. */
  CascadeTable table(double[] costs, double draw) {
    int scale = scale(costs);
    boolean high = price.isHigh(draw);
    int slot = (scale + HALF_GRID) * PRICES + (high ? 1 : 0);
    CascadeTable table = tables.get(slot);
    if (table == null) {
      table = solve(scaled(scale), all, draw);
      tables.set(slot, table);
    }
    return table;
  }

  /** The table for a request to which only some steps are open. */
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
