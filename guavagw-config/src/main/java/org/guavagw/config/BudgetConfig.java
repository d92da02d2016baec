package org.guavagw.config;

/** What a team may spend per UTC day, in micro-units of currency. Immutable. */
public record BudgetConfig(long microsPerDay) {}
