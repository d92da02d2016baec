package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.VersionRef;

/** A backend server that takes new work and the versions that it last reported. Immutable. */
public record Loadout(BackendServerConfig server, List<VersionRef> loaded) {
  public Loadout {
    loaded = List.copyOf(loaded);
  }
}
