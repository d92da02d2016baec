package org.guavagw.standins.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;
import org.guavagw.standins.http.JsonResponses;

/**
 * Serves the three operations of the DynamoDB JSON protocol that a table service needs. Only the
 * expressions of this project's client are supported; others are refused. Row versions come from
 * the underlying service, not from the update expression. Thread-safe.
 */
final class DynamoEndpoint {
  private static final String TYPE = "application/x-amz-json-1.0";
  private static final String ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#";
  private static final String PUT = "SET #v = if_not_exists(#v, :first) + :one, #d = :d";
  private static final String ABSENT = "attribute_not_exists(#v)";
  private static final String SAME_VERSION = "#v = :v";
  private static final int BAD_REQUEST = 400;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final TableService tables;

  DynamoEndpoint(TableService tables) {
    this.tables = tables;
  }

  StandInResponse serve(String target, byte[] body) {
    JsonNode request = parse(body);
    try {
      return switch (target.substring(target.lastIndexOf('.') + 1)) {
        case "GetItem" -> getItem(request);
        case "Query" -> query(request);
        case "TransactWriteItems" -> transactWriteItems(request);
        default -> error("UnknownOperationException", List.of());
      };
    } catch (IllegalArgumentException e) {
      return error("ValidationException", List.of());
    }
  }

  private StandInResponse getItem(JsonNode request) {
    RowKey key = key(request);
    return tables
        .read(key)
        .fold(
            FailureResponses::toResponse,
            r -> ok(new ItemBody(r.map(DynamoEndpoint::item).orElse(null))));
  }

  private StandInResponse query(JsonNode request) {
    JsonNode values = request.path("ExpressionAttributeValues");
    String from = values.at("/:from/S").asText();
    String to = values.at("/:to/S").asText();
    String after = request.at("/ExclusiveStartKey/sk/S").asText();
    boolean between = request.path("KeyConditionExpression").asText().contains("BETWEEN");
    String first = after.isEmpty() ? from : after + "\0";
    String end = between ? to + "\0" : to;
    int limit = request.path("Limit").asInt();
    return tables
        .range(request.path("TableName").asText(), first, end, limit)
        .fold(FailureResponses::toResponse, rows -> ok(page(rows, limit)));
  }

  private static PageBody page(List<Row> rows, int limit) {
    boolean isFull = rows.size() == limit;
    Object last = isFull ? keyAttributes(rows.get(rows.size() - 1).key()) : null;
    return new PageBody(rows.stream().map(DynamoEndpoint::item).toList(), last);
  }

  private StandInResponse transactWriteItems(JsonNode request) {
    List<Condition> conditions = new ArrayList<>();
    List<Mutation> mutations = new ArrayList<>();
    List<RowKey> rows = new ArrayList<>();
    for (JsonNode action : request.path("TransactItems")) {
      Map.Entry<String, JsonNode> entry = action.properties().iterator().next();
      JsonNode operation = entry.getValue();
      RowKey key = key(operation);
      rows.add(key);
      addCondition(operation, key, conditions);
      addMutation(entry.getKey(), operation, key, mutations);
    }
    if (rows.stream().distinct().count() < rows.size()) {
      throw new IllegalArgumentException("transaction names an item more than once");
    }
    return tables
        .commit(new Transaction(conditions, mutations))
        .fold(FailureResponses::toResponse, r -> result(rows, r));
  }

  private static void addCondition(JsonNode operation, RowKey key, List<Condition> conditions) {
    String expression = operation.path("ConditionExpression").asText();
    switch (expression) {
      case "" -> {
        return;
      }
      case ABSENT -> conditions.add(new Condition.Absent(key));
      case SAME_VERSION -> {
        long version = operation.at("/ExpressionAttributeValues/:v/N").asLong();
        conditions.add(new Condition.VersionIs(key, version));
      }
      default -> throw new IllegalArgumentException(expression);
    }
  }

  private static void addMutation(
      String action, JsonNode operation, RowKey key, List<Mutation> mutations) {
    switch (action) {
      case "ConditionCheck" -> {
        return;
      }
      case "Delete" -> mutations.add(new Mutation.Delete(key));
      case "Update" -> mutations.add(new Mutation.Put(key, data(operation)));
      default -> throw new IllegalArgumentException(action);
    }
  }

  private static byte[] data(JsonNode operation) {
    if (!operation.path("UpdateExpression").asText().equals(PUT)) {
      throw new IllegalArgumentException("unknown update expression");
    }
    try {
      return operation.at("/ExpressionAttributeValues/:d/B").binaryValue();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static StandInResponse result(List<RowKey> rows, CommitResult result) {
    if (!(result instanceof CommitResult.Conflict conflict)) {
      return ok(new Empty());
    }
    List<Reason> reasons =
        rows.stream()
            .map(r -> conflict.keys().contains(r) ? "ConditionalCheckFailed" : "None")
            .map(Reason::new)
            .toList();
    return error("TransactionCanceledException", reasons);
  }

  private static RowKey key(JsonNode operation) {
    return new RowKey(operation.path("TableName").asText(), operation.at("/Key/sk/S").asText());
  }

  private static Map<String, Object> item(Row row) {
    Map<String, Object> item = new LinkedHashMap<>(keyAttributes(row.key()));
    item.put("v", Map.of("N", Long.toString(row.version())));
    item.put("d", Map.of("B", row.value()));
    return item;
  }

  private static Map<String, Object> keyAttributes(RowKey key) {
    return Map.of("pk", Map.of("S", "rows"), "sk", Map.of("S", key.key()));
  }

  private static JsonNode parse(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static StandInResponse ok(Object body) {
    return response(200, body);
  }

  private static StandInResponse error(String type, List<Reason> reasons) {
    return response(BAD_REQUEST, new ErrorBody(ERROR_PREFIX + type, reasons));
  }

  private static StandInResponse response(int status, Object body) {
    return StandInResponse.text(status, TYPE, JsonResponses.text(body));
  }

  /** A response without content. */
  @JsonInclude
  private record Empty() {}

  /** An item, or null if it does not exist. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record ItemBody(@JsonProperty("Item") Map<String, Object> item) {}

  /** Items and the key after which the next page starts. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record PageBody(
      @JsonProperty("Items") List<Map<String, Object>> items,
      @JsonProperty("LastEvaluatedKey") Object lastKey) {}

  /** An error. */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  private record ErrorBody(
      @JsonProperty("__type") String type,
      @JsonProperty("CancellationReasons") List<Reason> reasons) {}

  /** Why an action cancelled its transaction. */
  private record Reason(@JsonProperty("Code") String code) {}
}
