package org.guavagw.cli.bench;

import java.io.IOException;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the series of a scenario report as a PNG file. Stateless. */
final class BenchPlot {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 500;

  private BenchPlot() {}

  static void write(ScenarioReport report, Path file) throws IOException {
    String axis = report.series().isEmpty() ? "" : report.series().get(0).axis();
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .title(report.scenario())
            .xAxisTitle("time (s)")
            .yAxisTitle(axis)
            .build();
    for (PlotSeries s : report.series()) {
      chart.addSeries(s.policy(), s.x(), s.y()).setMarker(SeriesMarkers.NONE);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
  }
}
