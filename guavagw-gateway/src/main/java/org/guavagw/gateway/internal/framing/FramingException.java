package org.guavagw.gateway.internal.framing;

/** Marks a message in the pipeline of a connection as one that is not read. Immutable. */
public final class FramingException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final transient FramingFault fault;

  FramingException(FramingFault fault) {
    super(fault.reason(), null, false, false);
    this.fault = fault;
  }

  /** Returns what is wrong with the message. */
  public FramingFault fault() {
    return fault;
  }
}
