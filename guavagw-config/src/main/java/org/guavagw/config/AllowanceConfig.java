package org.guavagw.config;

import java.util.List;

/** A model that a team may use; an empty list of versions allows every version. Immutable. */
public record AllowanceConfig(String model, List<String> versions) {
  public AllowanceConfig {
    versions = List.copyOf(versions);
  }

  /** Returns whether the team may use the version by this allowance. */
  public boolean covers(VersionRef ref) {
    return model.equals(ref.model()) && (versions.isEmpty() || versions.contains(ref.version()));
  }
}
