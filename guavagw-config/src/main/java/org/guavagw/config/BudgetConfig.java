package org.guavagw.config;

/** What a team may spend in a day of UTC, in micro-units of currency. Immutable. */
public record BudgetConfig(long microsPerDay) {}
