package org.guavagw.standins.wire;

import org.guavagw.platform.PlatformFailure;

/** Converts failures of platform calls to HTTP responses. Stateless. */
final class FailureResponses {
  private static final int REFUSED = 400;
  private static final int FAILED = 500;

  private FailureResponses() {}

  static StandInResponse toResponse(PlatformFailure failure) {
    boolean refused = failure.kind() == PlatformFailure.Kind.NOT_APPLIED;
    return StandInResponse.json(refused ? REFUSED : FAILED, new Body(failure.reason()));
  }

  /** The body of a failed call. */
  private record Body(String message) {}
}
