package org.guavagw.internal.placement;

/** Candidate placement with its score; the lowest score wins. Immutable. */
record ScoredPlacement(double score, Placement placement) {}
