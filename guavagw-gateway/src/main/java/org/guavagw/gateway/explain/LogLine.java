package org.guavagw.gateway.explain;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One line of an entry's log. Immutable.
 *
 * @param id id of the request that the line is about; empty if there is none
 * @param fields the other fields, in order
 */
record LogLine(Instant time, String node, String event, String id, Map<String, String> fields) {
  private static final JsonFactory JSON = new JsonFactory();

  LogLine {
    fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /** Parses a line; returns empty if it is not a line of an entry's log. */
  static Optional<LogLine> parse(String text) {
    // Log collectors often prepend columns of their own.
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    try (JsonParser parser = JSON.createParser(text.substring(start))) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        parser.nextToken();
        fields.put(name, parser.getText());
      }
      Instant time = Instant.parse(fields.remove("time"));
      String node = fields.remove("node");
      String event = fields.remove("event");
      String id = fields.containsKey("id") ? fields.remove("id") : "";
      return node == null || event == null
          ? Optional.empty()
          : Optional.of(new LogLine(time, node, event, id, fields));
    } catch (IOException | DateTimeException | NullPointerException e) {
      // Lines of other programs in the same file are skipped.
      return Optional.empty();
    }
  }
}
