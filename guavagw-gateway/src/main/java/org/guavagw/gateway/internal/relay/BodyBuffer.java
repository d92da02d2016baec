package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Collects the body of one request up to a size limit. Traffic thread only.
 *
 * <p>Invariant: owns its buffer until {@link #take} or {@link #release}.
 */
final class BodyBuffer {
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean tooLarge;

  /** Adds a chunk; drops it and everything after it if the body would exceed the limit. */
  void add(ByteBuf chunk, ByteBufAllocator allocator, long maxBytes) {
    if (body.readableBytes() + chunk.readableBytes() > maxBytes) {
      tooLarge = true;
      return;
    }
    if (!chunk.isReadable()) {
      return;
    }
    if (body.maxCapacity() == 0) {
      body = allocator.buffer(chunk.readableBytes());
    }
    body.writeBytes(chunk, chunk.readerIndex(), chunk.readableBytes());
  }

  /** Returns whether a chunk was dropped. */
  boolean isTooLarge() {
    return tooLarge;
  }

  /** Passes the body on to the caller of this method and starts an empty one. */
  ByteBuf take() {
    ByteBuf complete = body;
    body = Unpooled.EMPTY_BUFFER;
    tooLarge = false;
    return complete;
  }

  void release() {
    take().release();
  }
}
