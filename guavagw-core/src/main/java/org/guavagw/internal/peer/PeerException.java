package org.guavagw.internal.peer;

/** Completes the future of a request that got no answer. Immutable. */
public final class PeerException extends RuntimeException {
  private final PeerFailure failure;

  public PeerException(PeerFailure failure) {
    super(failure.name());
    this.failure = failure;
  }

  /** Why there is no answer. */
  public PeerFailure failure() {
    return failure;
  }

  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
