package org.guavagw.internal.service;

import java.util.List;

/** The answer of a plain service. Immutable; the array must not be changed. */
public record ServiceAnswer(int status, List<ServiceCall.Header> headers, byte[] body) {
  public ServiceAnswer {
    headers = List.copyOf(headers);
  }
}
