package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.Iterables;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.config.GatewayConfig;

/** Compares two configurations by path; list elements are matched by id. Stateless. */
final class ConfigDiff {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final List<String> ID_FIELDS = List.of("id", "taskClass");

  /** One difference; an empty value means that the path is absent on that side. Immutable. */
  record Line(String path, String before, String after) {
    @Override
    public String toString() {
      if (before.isEmpty()) {
        return "+ " + path + " = " + after;
      }
      return after.isEmpty()
          ? "- " + path + " = " + before
          : "~ " + path + ": " + before + " -> " + after;
    }
  }

  private ConfigDiff() {}

  static List<Line> between(GatewayConfig before, GatewayConfig after) {
    List<Line> lines = new ArrayList<>();
    compare("$", MAPPER.valueToTree(before), MAPPER.valueToTree(after), lines);
    return List.copyOf(lines);
  }

  private static void compare(String path, JsonNode before, JsonNode after, List<Line> lines) {
    if (before.equals(after)) {
      return;
    }
    Map<String, JsonNode> old = parts(before);
    Map<String, JsonNode> next = parts(after);
    if (old.isEmpty() && next.isEmpty()) {
      lines.add(new Line(path, text(before), text(after)));
      return;
    }
    for (String part :
        Iterables.concat(old.keySet(), Sets.difference(next.keySet(), old.keySet()))) {
      JsonNode a = old.get(part);
      JsonNode b = next.get(part);
      if (a == null || b == null) {
        lines.add(new Line(path + part, text(a), text(b)));
      } else {
        compare(path + part, a, b, lines);
      }
    }
  }

  private static Map<String, JsonNode> parts(JsonNode node) {
    Map<String, JsonNode> parts = new LinkedHashMap<>();
    if (node.isObject()) {
      node.properties().forEach(f -> parts.put("." + f.getKey(), f.getValue()));
    }
    boolean hasIds = node.isArray() && Iterables.all(node, e -> !idOf(e).isEmpty());
    if (hasIds) {
      node.forEach(e -> parts.put("[" + idOf(e) + "]", e));
    }
    return parts;
  }

  private static String idOf(JsonNode element) {
    return ID_FIELDS.stream()
        .map(f -> element.path(f).asText(""))
        .filter(id -> !id.isEmpty())
        .findFirst()
        .orElse("");
  }

  private static String text(JsonNode node) {
    return node == null ? "" : node.toString();
  }
}
