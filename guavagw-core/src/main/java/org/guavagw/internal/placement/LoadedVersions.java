package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.VersionRef;

/**
 * A backend server that accepts new work, with the versions that it last reported as loaded.
 * Immutable.
 */
public record LoadedVersions(BackendServerConfig server, List<VersionRef> loaded) {
  public LoadedVersions {
    loaded = List.copyOf(loaded);
  }
}
