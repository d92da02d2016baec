package org.guavagw.internal.load;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The answer of a backend server to {@code GET /load}. Immutable.
 *
 * @param bootId id that changes with every start of the backend server
 * @param state {@code cold} during cold start
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServerLoad(
    String bootId,
    String state,
    int running,
    int waiting,
    int slots,
    List<String> versions,
    List<String> adapters,
    String role) {
  private static final String COLD = "cold";

  public ServerLoad {
    bootId = bootId == null ? "" : bootId;
    state = state == null ? "" : state;
    role = role == null ? "" : role;
    versions = versions == null ? List.of() : List.copyOf(versions);
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /** Returns whether the backend server reports that it is in cold start. */
  public boolean isCold() {
    return state.equals(COLD);
  }
}
