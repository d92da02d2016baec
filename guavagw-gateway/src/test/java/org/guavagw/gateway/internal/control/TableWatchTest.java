package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TableWatchTest {
  private static final String TABLE = "orders";
  private static final Duration WAIT = Duration.ofMillis(1500);

  private final ManualClock clock = new ManualClock();
  private final ScriptedStore store = new ScriptedStore();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private Moment checked;

  @BeforeEach
  void start() {
    TableWatch watch =
        new TableWatch(
            TABLE,
            WAIT,
            () -> Duration.ZERO,
            store,
            new CheckedMirror(),
            control.eventLoop(),
            clock.clocks(),
            log);
    watch.start();
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldCountTheWaitOfAnEmptyAnswerAsTimeInWhichNothingChanged() {
    store.answer(TABLE, 7);
    clock.advance(WAIT);
    store.answer(TABLE, 7);

    assertThat(checked.age(clock.clocks())).isLessThan(Duration.ofMillis(100));
  }

  @Test
  void shouldTakeAnAnswerAsOldAsItsQuestionAfterASuspension() {
    store.answer(TABLE, 7);
    clock.stepWall(Duration.ofSeconds(6));
    store.answer(TABLE, 7);

    assertThat(checked.age(clock.clocks())).isEqualTo(Duration.ofSeconds(6));
  }

  /** Keeps the last check. */
  private final class CheckedMirror implements TableMirror {
    @Override
    public void replace(List<StoredRow> rows, long nowNanos) {
      // only the checks matter here
    }

    @Override
    public void apply(List<StoredRow> rows, long nowNanos) {
      // only the checks matter here
    }

    @Override
    public void checked(Moment moment) {
      checked = moment;
    }
  }
}
