package org.guavagw.internal.placement;

/** A possible placement; the lowest score wins. Immutable. */
record ScoredPlacement(double score, Placement placement) {}
