package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON that the platform's pages use. Not thread-safe. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Returns maps, lists, strings, longs, doubles, booleans or null. */
  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    if (json.at < text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  private Object value() {
    skipSpace();
    return switch (text.charAt(at)) {
      case '{' -> object();
      case '[' -> array();
      case '"' -> string();
      default -> literal();
    };
  }

  private Map<String, Object> object() {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    for (skipSpace(); text.charAt(at) != '}'; skipSpace()) {
      if (text.charAt(at) == ',') {
        at++;
        skipSpace();
      }
      String name = string();
      skipSpace();
      at++; // the colon
      object.put(name, value());
    }
    at++;
    return object;
  }

  private List<Object> array() {
    List<Object> array = new ArrayList<>();
    at++;
    for (skipSpace(); text.charAt(at) != ']'; skipSpace()) {
      if (text.charAt(at) == ',') {
        at++;
      }
      array.add(value());
    }
    at++;
    return array;
  }

  private String string() {
    StringBuilder value = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char next = text.charAt(at);
      if (next != '\\') {
        value.append(next);
        continue;
      }
      at++;
      char escaped = text.charAt(at);
      switch (escaped) {
        case 'n' -> value.append('\n');
        case 't' -> value.append('\t');
        case 'r' -> value.append('\r');
        case 'b' -> value.append('\b');
        case 'f' -> value.append('\f');
        case 'u' -> {
          value.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
          at += 4;
        }
        default -> value.append(escaped);
      }
    }
    at++;
    return value.toString();
  }

  private Object literal() {
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
    };
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }
}
