package org.guavagw.standins.engine;

import org.guavagw.config.VersionRef;

/** Determines the quality of answers. Implementations are thread-safe. */
@FunctionalInterface
public interface QualityModel {
  /** Returns the quality of the answer to a prompt, from 0 (useless) to 1 (perfect). */
  double quality(VersionRef version, String prompt);

  /** Returns a model that gives every answer the same quality. */
  static QualityModel constant(double quality) {
    return (version, prompt) -> quality;
  }
}
