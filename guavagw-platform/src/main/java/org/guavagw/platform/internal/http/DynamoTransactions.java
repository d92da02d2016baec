package org.guavagw.platform.internal.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.Transaction;
import org.guavagw.platform.internal.http.DynamoMessages.Action;
import org.guavagw.platform.internal.http.DynamoMessages.Operation;

/** Converts transactions into DynamoDB actions, one per row. Immutable. */
final class DynamoTransactions {
  private static final String PUT = "SET #v = if_not_exists(#v, :first) + :one, #d = :d";
  private static final String ABSENT = "attribute_not_exists(#v)";
  private static final String SAME_VERSION = "#v = :v";

  private final InitialRowVersions initialVersions;

  DynamoTransactions(InitialRowVersions initialVersions) {
    this.initialVersions = initialVersions;
  }

  /** Returns the rows of a transaction in the order of its actions. */
  static List<RowKey> rows(Transaction transaction) {
    Map<RowKey, Boolean> rows = new LinkedHashMap<>();
    transaction.mutations().forEach(m -> rows.put(m.key(), true));
    transaction.conditions().forEach(c -> rows.put(c.key(), true));
    return List.copyOf(rows.keySet());
  }

  List<Action> actions(Transaction transaction) {
    Map<RowKey, Condition> conditions = new HashMap<>();
    transaction.conditions().forEach(c -> conditions.put(c.key(), c));
    List<Action> actions = new ArrayList<>();
    transaction.mutations().forEach(m -> actions.add(action(m, conditions.remove(m.key()))));
    rows(transaction).stream()
        .filter(conditions::containsKey)
        .map(conditions::get)
        .forEach(c -> actions.add(new Action(null, null, operation(c.key(), c, null))));
    return List.copyOf(actions);
  }

  private Action action(Mutation mutation, Condition condition) {
    if (mutation instanceof Mutation.Put put) {
      return new Action(operation(put.key(), condition, put), null, null);
    }
    return new Action(null, operation(mutation.key(), condition, null), null);
  }

  private Operation operation(RowKey row, Condition condition, Mutation.Put put) {
    Map<String, String> names = new HashMap<>();
    Map<String, AttributeValue> values = new HashMap<>();
    if (put != null) {
      names.put("#v", DynamoItems.VERSION);
      names.put("#d", DynamoItems.DATA);
      values.put(":first", AttributeValue.of(initialVersions.generate()));
      values.put(":one", AttributeValue.of(1));
      values.put(":d", AttributeValue.of(put.value()));
    }
    if (condition != null) {
      names.put("#v", DynamoItems.VERSION);
    }
    if (condition instanceof Condition.VersionIs v) {
      values.put(":v", AttributeValue.of(v.version()));
    }
    return new Operation(
        row.table(),
        DynamoItems.key(row),
        put == null ? null : PUT,
        expression(condition),
        names,
        values);
  }

  private static String expression(Condition condition) {
    if (condition == null) {
      return null;
    }
    return condition instanceof Condition.Absent ? ABSENT : SAME_VERSION;
  }
}
