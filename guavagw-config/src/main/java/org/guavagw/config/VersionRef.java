package org.guavagw.config;

/** Reference to one version of a model. Immutable. */
public record VersionRef(String model, String version) {
  private static final char SEPARATOR = '@';

  /** Parses {@code model@version}; the part after the last {@code @} is the version. */
  public static VersionRef parse(String text) {
    if (!isWellFormed(text)) {
      throw new IllegalArgumentException("not of the form model@version: " + text);
    }
    int at = text.lastIndexOf(SEPARATOR);
    return new VersionRef(text.substring(0, at), text.substring(at + 1));
  }

  /** Returns whether {@link #parse} accepts a text. */
  public static boolean isWellFormed(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    return at > 0 && at < text.length() - 1;
  }

  @Override
  public String toString() {
    return model + SEPARATOR + version;
  }
}
