package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the body of one request up to a size limit, in pieces that are never copied to grow.
 * Traffic thread only.
 *
 * <p>Invariant: owns its buffers until {@link #take} or {@link #release}.
 */
final class BodyBuffer {
  /** Small enough that a full allocator finds room for one piece more. */
  private static final int PIECE_BYTES = 64 * 1024;

  private final List<ByteBuf> pieces = new ArrayList<>();
  private int size;
  private long heldBytes;
  private boolean tooLarge;

  /**
   * Adds a chunk; drops the body and everything after it if it would exceed the limit.
   *
   * @param kept whether the bytes are kept, or only counted
   */
  void add(ByteBuf chunk, ByteBufAllocator allocator, long maxBytes, boolean kept) {
    if (tooLarge || !chunk.isReadable()) {
      return;
    }
    if (size + chunk.readableBytes() > maxBytes) {
      release();
      tooLarge = true;
      return;
    }
    size += chunk.readableBytes();
    if (kept) {
      append(chunk, allocator);
    }
  }

  private void append(ByteBuf chunk, ByteBufAllocator allocator) {
    int index = chunk.readerIndex();
    while (index < chunk.writerIndex()) {
      int left = chunk.writerIndex() - index;
      ByteBuf piece = pieceFor(left, allocator);
      int count = Math.min(left, piece.maxWritableBytes());
      heldBytes -= piece.capacity();
      piece.writeBytes(chunk, index, count);
      heldBytes += piece.capacity();
      index += count;
    }
  }

  private ByteBuf pieceFor(int bytes, ByteBufAllocator allocator) {
    if (!pieces.isEmpty() && pieces.get(pieces.size() - 1).maxWritableBytes() > 0) {
      return pieces.get(pieces.size() - 1);
    }
    ByteBuf piece = allocator.buffer(Math.min(bytes, PIECE_BYTES), PIECE_BYTES);
    heldBytes += piece.capacity();
    pieces.add(piece);
    return piece;
  }

  /** Returns whether the body exceeded the limit. */
  boolean isTooLarge() {
    return tooLarge;
  }

  /** Returns the memory that the body takes. */
  long heldBytes() {
    return heldBytes;
  }

  /** Passes the body on to the caller of this method and starts an empty one. */
  ByteBuf take() {
    ByteBuf complete = join();
    pieces.clear();
    size = 0;
    heldBytes = 0;
    tooLarge = false;
    return complete;
  }

  private ByteBuf join() {
    if (pieces.isEmpty()) {
      return Unpooled.EMPTY_BUFFER;
    }
    if (pieces.size() == 1) {
      return pieces.get(0);
    }
    CompositeByteBuf joined = new CompositeByteBuf(pieces.get(0).alloc(), false, pieces.size());
    return joined.addComponents(true, pieces);
  }

  void release() {
    take().release();
  }
}
