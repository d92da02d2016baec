package org.guavagw.platform;

import io.vavr.control.Either;
import org.guavagw.config.VersionRef;

/** The platform's rate-limited store of model weights. Implementations are thread-safe. */
public interface WeightStore {
  /** Reserves a download of a version by a backend server; refused above the rate limit. */
  Either<PlatformFailure, Void> reserveDownload(VersionRef version, String backendServer);
}
