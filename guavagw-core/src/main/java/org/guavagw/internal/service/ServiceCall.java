package org.guavagw.internal.service;

import java.util.List;

/**
 * A call to a plain service as received from the caller. Immutable; the array must not be changed.
 *
 * @param path path and query within the service, with a leading slash
 */
public record ServiceCall(
    String service, String method, String path, List<Header> headers, byte[] body) {
  public ServiceCall {
    headers = List.copyOf(headers);
  }

  /** One header of a call or an answer. */
  public record Header(String name, String value) {}
}
