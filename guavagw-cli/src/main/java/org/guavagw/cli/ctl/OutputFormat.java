package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import com.google.common.collect.Streams;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Output formats of command results. */
enum OutputFormat {
  TABLE {
    @Override
    String render(JsonNode result) {
      return result.isArray() ? rows(result) : fields(result);
    }
  },
  JSON {
    @Override
    String render(JsonNode result) {
      return result.toString();
    }
  };

  private static final String GAP = "  ";

  abstract String render(JsonNode result);

  private static String fields(JsonNode object) {
    List<List<String>> rows = new ArrayList<>();
    StringBuilder tables = new StringBuilder();
    object
        .properties()
        .forEach(
            f -> {
              if (f.getValue().isArray() && f.getValue().path(0).isObject()) {
                tables.append("\n\n").append(f.getKey()).append(":\n").append(rows(f.getValue()));
              } else {
                rows.add(List.of(f.getKey(), text(f.getValue())));
              }
            });
    return align(rows) + tables;
  }

  private static String rows(JsonNode array) {
    if (!array.path(0).isObject()) {
      return Streams.stream(array).map(OutputFormat::text).collect(Collectors.joining("\n"));
    }
    List<String> columnNames = new ArrayList<>();
    array.path(0).fieldNames().forEachRemaining(columnNames::add);
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.copyOf(columnNames));
    array.forEach(e -> rows.add(columnNames.stream().map(n -> text(e.path(n))).toList()));
    return align(rows);
  }

  private static String text(JsonNode node) {
    return node.isTextual() ? node.asText() : node.toString();
  }

  private static String align(List<List<String>> rows) {
    List<Integer> widths = new ArrayList<>();
    for (int i = 0; !rows.isEmpty() && i < rows.get(0).size(); i++) {
      int column = i;
      widths.add(rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0));
    }
    return rows.stream().map(r -> line(r, widths)).collect(Collectors.joining("\n"));
  }

  private static String line(List<String> cells, List<Integer> widths) {
    return Streams.zip(cells.stream(), widths.stream(), (c, w) -> Strings.padEnd(c, w, ' '))
        .collect(Collectors.joining(GAP))
        .stripTrailing();
  }
}
