package org.guavagw.standins.service;

import java.util.Map;

/** Response of a plain service: the request that it received. Immutable. */
record EchoResponse(
    String service, String method, String path, Map<String, String> headers, String body) {
  EchoResponse {
    headers = Map.copyOf(headers);
  }
}
