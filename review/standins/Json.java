import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer for the bodies of the store. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = peek();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (peek() != '}') {
        String key = string();
        peek();
        at++;
        map.put(key, value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (peek() != ']') {
        list.add(value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return word.equals("true") || word.equals("false")
        ? (Object) Boolean.valueOf(word)
        : word.equals("null") ? null : (Object) Double.valueOf(word);
  }

  private String string() {
    peek();
    StringBuilder out = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c == '\\') {
        c = text.charAt(++at);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
          at += 4;
        } else if (c == 'n') {
          c = '\n';
        } else if (c == 't') {
          c = '\t';
        } else if (c == 'r') {
          c = '\r';
        }
      }
      out.append(c);
    }
    at++;
    return out.toString();
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
