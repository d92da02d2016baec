package org.guavagw.cli.bench.policy;

/** Chooses models for requests. Used by one thread, with requests in arrival order. */
interface ServingPolicy {
  /** Serves a request and returns the result. */
  ServingResult serve(BenchRequest request);
}
