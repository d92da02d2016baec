package org.guavagw.config;

/** Names one version of one model. Immutable. */
public record VersionRef(String model, String version) {
  private static final char SEPARATOR = '@';

  /** Reads the form {@code model@version}; the part behind the last {@code @} is the version. */
  public static VersionRef parse(String text) {
    if (!isWellFormed(text)) {
      throw new IllegalArgumentException("not of the form model@version: " + text);
    }
    int at = text.lastIndexOf(SEPARATOR);
    return new VersionRef(text.substring(0, at), text.substring(at + 1));
  }

  /** Whether a text has the form that {@link #parse} reads. */
  public static boolean isWellFormed(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    return at > 0 && at < text.length() - 1;
  }

  @Override
  public String toString() {
    return model + SEPARATOR + version;
  }
}
