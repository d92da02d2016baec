package org.guavagw.cli.demo;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.guavagw.cli.local.DeploymentConfig;
import org.guavagw.standins.engine.QualityModel;

/**
 * Answer quality of the model engines in the demo: always good for the strong model, good for most
 * prompts for the cheap model.
 */
final class DemoQuality {
  private static final double CHEAP_PASS_SHARE = 0.75;
  private static final double GOOD = 0.92;
  private static final double POOR = 0.35;

  private DemoQuality() {}

  static QualityModel of(long seed) {
    return (version, prompt) -> {
      if (version.model().equals(DeploymentConfig.LARGE)) {
        return GOOD;
      }
      return uniform(seed, prompt) < CHEAP_PASS_SHARE ? GOOD : POOR;
    };
  }

  private static double uniform(long seed, String prompt) {
    long hash = Hashing.murmur3_128((int) seed).hashString(prompt, StandardCharsets.UTF_8).asLong();
    return (hash >>> 11) * 0x1.0p-53;
  }
}
