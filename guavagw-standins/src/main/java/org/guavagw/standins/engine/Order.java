package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * An order to an engine. Immutable.
 *
 * @param subject the version, the adapter or the role to set
 * @param fencing fencing number, which increases with each new holder of the control lease
 */
public record Order(Kind kind, String subject, long fencing) {
  /** Kinds of orders. */
  public enum Kind {
    /** Load a version. */
    LOAD("version"),
    /** Unload a version. */
    UNLOAD("version"),
    /** Load an adapter. */
    ADAPTER("adapter"),
    /** Change the role. */
    ROLE("role");

    private final String field;

    Kind(String field) {
      this.field = field;
    }

    String field() {
      return field;
    }
  }

  /** Parses an order; throws {@link IllegalArgumentException} if it is malformed. */
  static Order read(JsonNode body) {
    Kind kind = Kind.valueOf(body.path("kind").asText().toUpperCase(Locale.ROOT));
    return new Order(kind, body.path(kind.field()).asText(), body.path("fencing").asLong());
  }
}
