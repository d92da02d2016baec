package org.guavagw.cli.bench;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Optional;

/** Deployments that the programs can simulate. */
public enum Deployment {
  NILE_BASIN("nile-basin"),
  SWAP_ASSOCIATION("swap-association");

  private final String wireName;

  Deployment(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name on command lines and in reports. */
  @JsonValue
  public String wireName() {
    return wireName;
  }

  /** Finds a deployment by its wire name. */
  public static Optional<Deployment> of(String wireName) {
    return Arrays.stream(values()).filter(d -> d.wireName.equals(wireName)).findFirst();
  }
}
