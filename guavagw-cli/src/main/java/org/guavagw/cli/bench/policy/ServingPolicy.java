package org.guavagw.cli.bench.policy;

/** Chooses models for requests. Implementations are used by one thread, in the order of time. */
interface ServingPolicy {
  /** Serves a request. */
  Served serve(BenchRequest request);
}
