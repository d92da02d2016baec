package org.guavagw.gateway.internal.quarantine;

import java.util.Set;

/**
 * What explains the ends of backend servers. Immutable.
 *
 * @param requests fingerprints of requests
 * @param parts parts of prompts
 */
record Culprits(Set<String> requests, Set<String> parts) {
  Culprits {
    requests = Set.copyOf(requests);
    parts = Set.copyOf(parts);
  }
}
