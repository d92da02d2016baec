package org.guavagw.standins.service;

import java.util.Map;

/** What a plain service received. Immutable. */
record Echo(String service, String method, String path, Map<String, String> headers, String body) {
  Echo {
    headers = Map.copyOf(headers);
  }
}
