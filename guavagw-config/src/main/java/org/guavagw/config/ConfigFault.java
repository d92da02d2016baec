package org.guavagw.config;

/**
 * An error in a configuration. Immutable.
 *
 * @param path JSON path of the value, such as {@code $.teams[2].keyHashes[0]}
 * @param problem what is wrong
 * @param remedy how to correct it
 */
public record ConfigFault(String path, String problem, String remedy) {
  /** Returns the fault as one line of text. */
  @Override
  public String toString() {
    return path + ": " + problem + "; " + remedy;
  }
}
