package org.guavagw.standins.service;

import java.util.Map;

/** What a plain service received. Immutable. */
record EchoResponse(
    String service, String method, String path, Map<String, String> headers, String body) {
  EchoResponse {
    headers = Map.copyOf(headers);
  }
}
