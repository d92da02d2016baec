package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.guavagw.Refusal;

/**
 * The body of the request that one connection receives, with the limits on its size and time.
 *
 * <p>Invariant: no byte is kept of a body whose request is known to be refused. Traffic thread
 * only.
 */
final class IncomingBody {
  /** Total time for a body; far longer than callers wait for an answer. */
  private static final long MAX_NANOS = Duration.ofSeconds(60).toNanos();

  private final BodyBuffer buffer = new BodyBuffer();
  private Optional<Refusal> accessRefusal = Optional.empty();
  private boolean begun;
  private long startNanos;

  /** Expects the body of the next request. */
  void start(long nowNanos) {
    startNanos = nowNanos;
    accessRefusal = Optional.empty();
    begun = false;
  }

  /**
   * Adds a part; returns why the request is refused before its body is complete, if it is.
   *
   * @param access tells why the request will be refused whatever its body is; asked once, and only
   *     if the body comes in several parts
   */
  Optional<Refusal> add(
      HttpContent part,
      ByteBufAllocator allocator,
      long maxBytes,
      long nowNanos,
      Supplier<Optional<Refusal>> access) {
    boolean last = part instanceof LastHttpContent;
    if (!begun && !last) {
      accessRefusal = access.get();
    }
    begun = true;
    buffer.add(part.content(), allocator, maxBytes, accessRefusal.isEmpty());
    if (last) {
      return Optional.empty();
    }
    if (buffer.isTooLarge()) {
      return Optional.of(ExchangeRefusals.bodyTooLarge());
    }
    return nowNanos - startNanos > MAX_NANOS
        ? Optional.of(ExchangeRefusals.bodyTooSlow())
        : Optional.empty();
  }

  /** Returns why the request is refused whose body is complete, if it is. */
  Optional<Refusal> refusal() {
    return buffer.isTooLarge() ? Optional.of(ExchangeRefusals.bodyTooLarge()) : accessRefusal;
  }

  /** Returns the memory that the body takes. */
  long heldBytes() {
    return buffer.heldBytes();
  }

  /** Passes the body on to the caller of this method. */
  ByteBuf take() {
    return buffer.take();
  }

  void release() {
    buffer.release();
  }
}
