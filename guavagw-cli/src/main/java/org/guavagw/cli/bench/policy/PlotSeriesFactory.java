package org.guavagw.cli.bench.policy;

import java.util.List;
import org.guavagw.cli.bench.PlotSeries;

/** Creates plot series. Stateless. */
final class PlotSeriesFactory {
  private PlotSeriesFactory() {}

  /** Creates a series of (x, y) points with the origin as its first point. */
  static PlotSeries fromPoints(String policy, String axis, List<double[]> points) {
    double[] x = new double[points.size() + 1];
    double[] y = new double[points.size() + 1];
    for (int i = 0; i < points.size(); i++) {
      x[i + 1] = points.get(i)[0];
      y[i + 1] = points.get(i)[1];
    }
    return new PlotSeries(policy, axis, x, y);
  }
}
