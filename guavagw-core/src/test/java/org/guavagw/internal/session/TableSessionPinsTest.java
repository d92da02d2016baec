package org.guavagw.internal.session;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.table.FaultyTableService;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.Test;

class TableSessionPinsTest {
  private static final VersionRef V1 = new VersionRef("small", "v1");
  private static final VersionRef V2 = new VersionRef("small", "v2");

  private final FaultyTableService table = new FaultyTableService(new InMemoryTableService(), 1);

  @Test
  void shouldKeepTheFirstPinOfTwoEntriesWhileARolloutMoves() {
    TableSessionPins first = pins(true);
    TableSessionPins second = pins(true);

    assertThat(first.pin("team", "s", V1, false)).isEqualTo(V1);
    assertThat(second.pin("team", "s", V2, false)).isEqualTo(V1);
  }

  @Test
  void shouldFindAPinThatAnotherEntryWroteInABatch() {
    TableSessionPins first = pins(false);
    first.pin("team", "s", V1, false);
    first.flush();

    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookup.of("v1"));
  }

  @Test
  void shouldKeepPinsWhileTheStoreIsAwayAndWriteThemAfter() {
    TableSessionPins pins = pins(false);
    table.faults().down(true);
    pins.pin("team", "s", V1, false);
    pins.flush();
    assertThat(pins.waitingCount()).isEqualTo(1);
    assertThat(pins.find("team", "s", "small")).isEqualTo(PinLookup.of("v1"));

    table.faults().down(false);
    TableSessionPins recovered = pins;
    now += 10_000_000_000L;
    recovered.flush();

    assertThat(recovered.waitingCount()).isZero();
    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookup.of("v1"));
  }

  @Test
  void shouldReplaceThePinOfAWithdrawnVersion() {
    TableSessionPins pins = pins(true);
    pins.pin("team", "s", V1, false);
    pins.pin("team", "s", V2, true);

    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookup.of("v2"));
  }

  @Test
  void shouldAskOtherEntriesWhileTheStoreIsAwayAndARolloutMoves() {
    TableSessionPins first = pins(true);
    first.pin("team", "s", V1, false);
    peers = first::remembered;
    TableSessionPins second = pins(true);
    table.faults().down(true);

    assertThat(second.find("team", "s", "small")).isEqualTo(PinLookup.of("v1"));
  }

  @Test
  void shouldSayThatNothingIsKnownWhileTheStoreIsAwayAndARolloutMoves() {
    table.faults().down(true);

    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookup.UNKNOWN);
  }

  @Test
  void shouldBeCertainThatASessionIsNewWhereTheStoreHasNoRow() {
    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookup.NONE);
  }

  @Test
  void shouldTakeSessionsAsNewWhileTheStoreIsAwayAndNothingMoves() {
    table.faults().down(true);

    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookup.NONE);
  }

  private long now;
  private PinPeers peers = PinPeers.NONE;

  private TableSessionPins pins(boolean moving) {
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return now;
          }
        };
    return new TableSessionPins(table, model -> moving, peers, ticker);
  }
}
