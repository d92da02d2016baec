package org.guavagw.cli.bench;

import java.util.List;

/** Measured values of one policy. Immutable. */
public record PolicyResult(String policy, List<Figure> figures) {
  public PolicyResult {
    figures = List.copyOf(figures);
  }
}
