package org.guavagw.standins.engine;

import org.guavagw.config.VersionRef;

/** Decides how good the answer of a version is. Implementations are thread-safe. */
@FunctionalInterface
public interface QualityModel {
  /** Quality of the answer to a prompt, from 0 (useless) to 1 (perfect). */
  double quality(VersionRef version, String prompt);

  /** The same quality for each answer. */
  static QualityModel constant(double quality) {
    return (version, prompt) -> quality;
  }
}
