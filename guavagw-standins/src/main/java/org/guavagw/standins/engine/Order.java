package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * An order to an engine. Immutable.
 *
 * @param subject the version, the adapter or the role that the order is about
 * @param fencing number that rises with each new holder of the right to give orders
 */
public record Order(Kind kind, String subject, long fencing) {
  /** What an engine can be told to do. */
  public enum Kind {
    /** Load a version. */
    LOAD("version"),
    /** Unload a version. */
    UNLOAD("version"),
    /** Load an adapter. */
    ADAPTER("adapter"),
    /** Take another role. */
    ROLE("role");

    private final String field;

    Kind(String field) {
      this.field = field;
    }

    String field() {
      return field;
    }
  }

  /** Reads an order; an unreadable one throws {@link IllegalArgumentException}. */
  static Order read(JsonNode body) {
    Kind kind = Kind.valueOf(body.path("kind").asText().toUpperCase(Locale.ROOT));
    return new Order(kind, body.path(kind.field()).asText(), body.path("fencing").asLong());
  }
}
