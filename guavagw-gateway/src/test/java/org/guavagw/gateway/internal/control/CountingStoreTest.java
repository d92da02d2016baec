package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.gateway.spi.StoreFailure;
import org.junit.jupiter.api.Test;

@SuppressWarnings("FutureReturnValueIgnored")
class CountingStoreTest {
  private static final String TABLE = "orders";
  private static final Duration WAIT = Duration.ofSeconds(1);

  private final ScriptedStore scripted = new ScriptedStore();
  private final List<String> calls = new ArrayList<>();
  private final CountingStore store =
      new CountingStore(
          scripted, (table, cause, result) -> calls.add(table + " " + cause + " " + result));

  @Test
  void shouldTellWhyTheStoreIsCalled() {
    store.readAll(TABLE);
    scripted.answer(TABLE, 1, TextFormat.row("config", "config 1", 1));
    store.changesSince(TABLE, 1, TablePoller.IMMEDIATE_POLL_TIMEOUT);
    scripted.answer(TABLE, 1);
    store.changesSince(TABLE, 1, WAIT);
    scripted.fail(TABLE, StoreFailure.Kind.REFUSED);
    store.changesSince(TABLE, 1, WAIT);
    scripted.fail(TABLE, StoreFailure.Kind.HISTORY_LOST);
    store.readAll(TABLE);
    scripted.answer(TABLE, 1);
    store.putIf(new RowVersion("status", "a", 0), new byte[0], List.of());

    assertThat(calls)
        .containsExactly(
            "orders START rows",
            "orders CATCH_UP empty",
            "orders POLL refused",
            "orders RETRY history_lost",
            "orders RELOAD empty",
            "status WRITE done");
  }
}
