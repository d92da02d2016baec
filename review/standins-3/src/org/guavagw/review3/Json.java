package org.guavagw.review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON that entries write to the store, and quotes text. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      return object();
    }
    if (c == '[') {
      return array();
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    return text.substring(start, at);
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    skip();
    while (text.charAt(at) != '}') {
      String name = string();
      skip();
      at++;
      fields.put(name, value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return fields;
  }

  private List<Object> array() {
    List<Object> items = new ArrayList<>();
    at++;
    skip();
    while (text.charAt(at) != ']') {
      items.add(value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return items;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      if (text.charAt(at) == '\\') {
        at++;
      }
      out.append(text.charAt(at++));
    }
    at++;
    return out.toString();
  }

  private void skip() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }
}
