package org.guavagw.cli.bench;

/** A line in a scenario's plot. The arrays are as long as each other and not changed. */
public record PlotSeries(String policy, String axis, double[] x, double[] y) {}
