package org.guavagw.platform.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/** The messages of the DynamoDB API version 2012-08-10 that the client uses. */
final class DynamoMessages {
  private DynamoMessages() {}

  /** Reads one item. */
  record GetItem(
      @JsonProperty("TableName") String table,
      @JsonProperty("Key") Map<String, AttributeValue> key,
      @JsonProperty("ConsistentRead") boolean consistent) {}

  /** The item, or null if it does not exist. */
  record GetItemReply(@JsonProperty("Item") Map<String, AttributeValue> item) {}

  /** Reads items of one partition in key order. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Query(
      @JsonProperty("TableName") String table,
      @JsonProperty("KeyConditionExpression") String condition,
      @JsonProperty("ExpressionAttributeNames") Map<String, String> names,
      @JsonProperty("ExpressionAttributeValues") Map<String, AttributeValue> values,
      @JsonProperty("Limit") int limit,
      @JsonProperty("ConsistentRead") boolean consistent,
      @JsonProperty("ExclusiveStartKey") Map<String, AttributeValue> startKey) {}

  /** A page of items. */
  record QueryReply(
      @JsonProperty("Items") List<Map<String, AttributeValue>> items,
      @JsonProperty("LastEvaluatedKey") Map<String, AttributeValue> lastKey) {}

  /** Actions that are applied atomically. */
  record TransactWriteItems(@JsonProperty("TransactItems") List<Action> actions) {}

  /** One action of a transaction; exactly one member is set. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Action(
      @JsonProperty("Update") Operation update,
      @JsonProperty("Delete") Operation delete,
      @JsonProperty("ConditionCheck") Operation check) {}

  /** An update, deletion or check of an item, with its condition. */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record Operation(
      @JsonProperty("TableName") String table,
      @JsonProperty("Key") Map<String, AttributeValue> key,
      @JsonProperty("UpdateExpression") String update,
      @JsonProperty("ConditionExpression") String condition,
      @JsonProperty("ExpressionAttributeNames") Map<String, String> names,
      @JsonProperty("ExpressionAttributeValues") Map<String, AttributeValue> values) {}

  /** An error; the reasons are in the order of the actions. */
  record ErrorReply(
      @JsonProperty("__type") String type,
      @JsonProperty("CancellationReasons") List<Reason> reasons) {}

  /** Why an action cancelled its transaction. */
  record Reason(@JsonProperty("Code") String code) {}
}
