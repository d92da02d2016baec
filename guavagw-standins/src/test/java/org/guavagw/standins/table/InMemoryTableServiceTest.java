package org.guavagw.standins.table;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.Transaction;
import org.junit.jupiter.api.Test;

class InMemoryTableServiceTest {
  private static final RowKey KEY = new RowKey("t", "k");

  private final InMemoryTableService tables = new InMemoryTableService();

  @Test
  void shouldApplyNothingIfOneConditionFails() {
    tables.commit(put(List.of(), KEY, "1"));
    RowKey other = new RowKey("t", "other");

    CommitResult result =
        tables
            .commit(
                new Transaction(
                    List.of(new Condition.Absent(other), new Condition.Absent(KEY)),
                    List.of(new Mutation.Put(other, bytes("2")), new Mutation.Delete(KEY))))
            .get();

    assertThat(result).isEqualTo(new CommitResult.Conflict(List.of(KEY)));
    assertThat(tables.read(other).get()).isEmpty();
    assertThat(tables.read(KEY).get()).isPresent();
  }

  @Test
  void shouldNeverReuseAVersionAfterADelete() {
    tables.commit(put(List.of(), KEY, "1"));
    long before = version();
    tables.commit(new Transaction(List.of(), List.of(new Mutation.Delete(KEY))));
    tables.commit(put(List.of(), KEY, "1"));

    assertThat(version()).isGreaterThan(before);
  }

  @Test
  void shouldReadARangeInKeyOrderExcludingItsEnd() {
    for (String k : List.of("c", "a", "b", "d")) {
      tables.commit(put(List.of(), new RowKey("t", k), k));
    }

    assertThat(tables.range("t", "a", "d", 2).get())
        .extracting(r -> r.key().key())
        .containsExactly("a", "b");
    assertThat(tables.range("t", "b", "d", 10).get()).hasSize(2);
    assertThat(tables.range("t", "d", "b", 10).get()).isEmpty();
  }

  @Test
  void shouldLetOneOfSeveralConcurrentWritersWinEachVersion() throws InterruptedException {
    tables.commit(put(List.of(), KEY, "0"));
    ExecutorService writers = Executors.newFixedThreadPool(3);
    for (int i = 0; i < 3; i++) {
      writers.execute(() -> increment(200));
    }
    writers.shutdown();

    assertThat(writers.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
    assertThat(new String(row().value(), StandardCharsets.UTF_8)).isEqualTo("600");
  }

  private void increment(int times) {
    for (int done = 0; done < times; ) {
      Row row = row();
      int next = Integer.parseInt(new String(row.value(), StandardCharsets.UTF_8)) + 1;
      Condition unchanged = new Condition.VersionIs(KEY, row.version());
      Transaction t = put(List.of(unchanged), KEY, Integer.toString(next));
      done += tables.commit(t).get() instanceof CommitResult.Committed ? 1 : 0;
    }
  }

  private Row row() {
    return tables.read(KEY).get().orElseThrow();
  }

  private long version() {
    return row().version();
  }

  private static Transaction put(List<Condition> conditions, RowKey key, String value) {
    return new Transaction(conditions, List.of(new Mutation.Put(key, bytes(value))));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
