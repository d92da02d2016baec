package org.guavagw.gateway.internal.quarantine;

import java.util.List;

/**
 * What may be the reason why a request ends backend servers: the request itself, or what it has in
 * common with others. Immutable.
 *
 * @param fingerprint the same whenever the same request comes again, under whichever id
 * @param sharedParts ids of the parts of its prompt that other requests may share, in order
 */
public record RequestTraits(String fingerprint, List<String> sharedParts) {
  public RequestTraits {
    sharedParts = List.copyOf(sharedParts);
  }
}
