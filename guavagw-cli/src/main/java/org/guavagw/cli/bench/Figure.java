package org.guavagw.cli.bench;

/** A measured number with its unit. Immutable. */
public record Figure(String name, double value, String unit) {}
