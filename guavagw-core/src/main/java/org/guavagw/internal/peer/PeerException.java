package org.guavagw.internal.peer;

/** Thrown when a request to a peer gets no answer. Immutable. */
public final class PeerException extends RuntimeException {
  private final PeerFailure failure;

  public PeerException(PeerFailure failure) {
    super(failure.name());
    this.failure = failure;
  }

  /** Returns why there is no answer. */
  public PeerFailure failure() {
    return failure;
  }

  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
