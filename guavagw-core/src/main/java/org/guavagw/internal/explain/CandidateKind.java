package org.guavagw.internal.explain;

/** Kind of a candidate for a request. */
public enum CandidateKind {
  MODEL,
  VERSION,
  BACKEND_SERVER
}
