package org.guavagw.config;

import java.util.List;

/** A model that a team may use; an empty list of versions allows every version. Immutable. */
public record AllowanceConfig(String model, List<String> versions) {
  public AllowanceConfig {
    versions = List.copyOf(versions);
  }

  /** Whether this allowance covers the version. */
  public boolean covers(VersionRef ref) {
    return model.equals(ref.model()) && (versions.isEmpty() || versions.contains(ref.version()));
  }
}
