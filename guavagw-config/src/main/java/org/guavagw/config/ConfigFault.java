package org.guavagw.config;

/**
 * One thing that is wrong with a configuration. Immutable.
 *
 * @param path where it is, such as {@code $.teams[2].keyHashes[0]}
 * @param problem what is wrong
 * @param remedy what to do about it
 */
public record ConfigFault(String path, String problem, String remedy) {
  /** The fault on one line. */
  @Override
  public String toString() {
    return path + ": " + problem + "; " + remedy;
  }
}
