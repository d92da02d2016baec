package org.guavagw.cli.bench;

/** A measured value with its name and unit. Immutable. */
public record Figure(String name, double value, String unit) {}
