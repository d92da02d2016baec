package org.guavagw.platform;

import java.util.List;

/** Changes that take effect together, or not at all when a condition fails. Immutable. */
public record Transaction(List<Condition> conditions, List<Mutation> mutations) {
  public Transaction {
    conditions = List.copyOf(conditions);
    mutations = List.copyOf(mutations);
  }
}
