package org.guavagw.platform.internal.http;

import java.util.Map;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;

/** Conversion between rows and items of a DynamoDB table. Stateless. */
final class DynamoItems {
  static final String PARTITION = "pk";
  static final String SORT = "sk";
  static final String VERSION = "v";
  static final String DATA = "d";
  static final String PARTITION_VALUE = "rows";

  private DynamoItems() {}

  static Map<String, AttributeValue> key(RowKey key) {
    return key(key.key());
  }

  static Map<String, AttributeValue> key(String sort) {
    return Map.of(PARTITION, AttributeValue.of(PARTITION_VALUE), SORT, AttributeValue.of(sort));
  }

  static Row row(String table, Map<String, AttributeValue> item) {
    return new Row(
        new RowKey(table, item.get(SORT).string()),
        Long.parseLong(item.get(VERSION).number()),
        item.get(DATA).bytes());
  }
}
