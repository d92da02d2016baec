package org.guavagw.cli.bench.relay;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintStream;

/** Report of the relay bench. The JSON names are part of its stable format. Immutable. */
record RelayReport(
    @JsonProperty("requests_per_second") double requestsPerSecond,
    @JsonProperty("direct_p50_ms") double directP50Ms,
    @JsonProperty("direct_p99_ms") double directP99Ms,
    @JsonProperty("relayed_p50_ms") double relayedP50Ms,
    @JsonProperty("relayed_p99_ms") double relayedP99Ms,
    @JsonProperty("added_p50_ms") double addedP50Ms,
    @JsonProperty("added_p99_ms") double addedP99Ms,
    @JsonProperty("tokens_per_busy_core") double tokensPerBusyCore,
    @JsonProperty("failed") long failed) {

  void print(PrintStream out) {
    out.printf("first token at %.0f requests per second%n", requestsPerSecond);
    out.printf("  direct   p50 %8.3f ms   p99 %8.3f ms%n", directP50Ms, directP99Ms);
    out.printf("  relayed  p50 %8.3f ms   p99 %8.3f ms%n", relayedP50Ms, relayedP99Ms);
    out.printf("  added    p50 %8.3f ms   p99 %8.3f ms%n", addedP50Ms, addedP99Ms);
    out.printf("relayed tokens per second and busy core: %.0f%n", tokensPerBusyCore);
    out.printf("failed: %d%n", failed);
  }
}
