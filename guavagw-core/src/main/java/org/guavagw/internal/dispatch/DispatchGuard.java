package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.ConfigSource;

/**
 * The last check before a request leaves the entry, against the newest revision known at that
 * moment. Every attempt must pass it. Thread-safe.
 */
public final class DispatchGuard {
  private final ConfigSource configs;

  /** Creates the guard. */
  public DispatchGuard(ConfigSource configs) {
    this.configs = configs;
  }

  /** Checks that the team may still use the version and that the version is not withdrawn. */
  public Either<Refusal, Void> checkVersion(TeamConfig team, VersionRef ref) {
    GatewayConfig config = configs.current().config();
    boolean allowed = config.team(team.id()).filter(t -> t.allows(ref)).isPresent();
    if (!allowed) {
      return refuse(RefusalCode.MODEL_NOT_ALLOWED, "your team may no longer use \"" + ref + "\"");
    }
    Optional<VersionState> state = config.versionState(ref);
    if (state.isEmpty() || state.get() == VersionState.WITHDRAWN) {
      return refuse(RefusalCode.VERSION_WITHDRAWN, "\"" + ref + "\" has been withdrawn");
    }
    return Either.right(null);
  }

  /** Returns whether the backend server still accepts new requests. */
  public boolean acceptsRequests(String backendServer) {
    GatewayConfig config = configs.current().config();
    Optional<BackendServerConfig> server = config.backendServer(backendServer);
    if (server.isEmpty() || server.get().leaving()) {
      return false;
    }
    return config
        .dataCentre(server.get().dataCentre())
        .filter(d -> d.state() == DataCentreState.IN)
        .isPresent();
  }

  /** Returns the newest known configuration. */
  public GatewayConfig config() {
    return configs.current().config();
  }

  /** Returns the newest known revision. */
  public long revision() {
    return configs.current().revision();
  }

  private static Either<Refusal, Void> refuse(RefusalCode code, String reason) {
    return Either.left(Refusal.notRun(code, reason));
  }
}
