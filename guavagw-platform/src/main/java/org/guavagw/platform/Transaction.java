package org.guavagw.platform;

import java.util.List;

/**
 * Changes that are applied atomically if all conditions hold. Each row has at most one condition
 * and at most one mutation. Immutable.
 */
public record Transaction(List<Condition> conditions, List<Mutation> mutations) {
  public Transaction {
    conditions = List.copyOf(conditions);
    mutations = List.copyOf(mutations);
    requireDistinct(conditions.stream().map(Condition::key).toList());
    requireDistinct(mutations.stream().map(Mutation::key).toList());
  }

  private static void requireDistinct(List<RowKey> rows) {
    if (rows.stream().distinct().count() < rows.size()) {
      throw new IllegalArgumentException("transaction names a row more than once: " + rows);
    }
  }
}
