package org.guavagw.gateway.internal.memory;

import io.netty.util.internal.PlatformDependent;
import org.guavagw.gateway.ProcessResources;

/**
 * Limits on what all callers together may hold. Immutable.
 *
 * @param heldBytes bytes received and not passed on, and bytes of answers not yet taken
 * @param connections open connections
 */
public record MemoryLimits(long heldBytes, int connections) {
  /** Part of the process's memory; the rest is for the runtime, its code and its own state. */
  private static final int MEMORY_DIVISOR = 8;

  /** Part of the heap, which also holds the control state and what is being decoded. */
  private static final int HEAP_DIVISOR = 4;

  /** Part of the direct memory, whose allocator loses some to fragments and read buffers. */
  private static final int DIRECT_MEMORY_DIVISOR = 2;

  /** Descriptors that the platform keeps for files. */
  private static final int FILE_DESCRIPTORS = 200;

  /**
   * Percentage of the other descriptors; the rest is for backend servers, entries and the store.
   */
  private static final int CALLER_PERCENT = 70;

  private static final int MIN_CONNECTIONS = 16;

  /** Returns the limits of this process on a machine that gives it these resources. */
  public static MemoryLimits of(ProcessResources resources) {
    return of(
        resources, Runtime.getRuntime().maxMemory(), PlatformDependent.estimateMaxDirectMemory());
  }

  static MemoryLimits of(ProcessResources resources, long maxHeapBytes, long maxDirectBytes) {
    long heldBytes =
        Math.min(
            resources.memoryBytes() / MEMORY_DIVISOR,
            Math.min(maxHeapBytes / HEAP_DIVISOR, maxDirectBytes / DIRECT_MEMORY_DIVISOR));
    long sockets = Math.max(0, resources.maxDescriptors() - FILE_DESCRIPTORS);
    return new MemoryLimits(
        heldBytes, (int) Math.max(MIN_CONNECTIONS, sockets * CALLER_PERCENT / 100));
  }
}
