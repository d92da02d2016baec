package org.guavagw.gateway;

/**
 * What the machine gives to this process. Immutable.
 *
 * @param memoryBytes memory beyond which the process is ended; {@link Long#MAX_VALUE} if unknown
 * @param maxDescriptors descriptors that it may open; {@link Integer#MAX_VALUE} if unknown
 * @param linkBytesPerSecond what the link of the machine carries; {@link Long#MAX_VALUE} if unknown
 */
public record ProcessResources(long memoryBytes, int maxDescriptors, long linkBytesPerSecond) {
  /** Resources of a process whose limits aren't known. */
  public static final ProcessResources UNKNOWN =
      new ProcessResources(Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
}
