package org.guavagw.internal.explain;

/** What a candidate of a request is. */
public enum CandidateKind {
  MODEL,
  VERSION,
  BACKEND_SERVER
}
