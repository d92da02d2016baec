package org.guavagw.cli.bench;

/** A line in the plot of a scenario. The arrays have equal lengths and are not modified. */
public record PlotSeries(String policy, String axis, double[] x, double[] y) {}
