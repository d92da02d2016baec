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
  void shouldKeepTheFirstPinOfTwoEntriesDuringARollout() {
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

    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookupResult.of("v1"));
  }

  @Test
  void shouldKeepPinsWhileTheStoreIsDownAndWriteThemAfterwards() {
    TableSessionPins pins = pins(false);
    table.faults().down(true);
    pins.pin("team", "s", V1, false);
    pins.flush();
    assertThat(pins.pendingCount()).isEqualTo(1);
    assertThat(pins.find("team", "s", "small")).isEqualTo(PinLookupResult.of("v1"));

    table.faults().down(false);
    TableSessionPins recovered = pins;
    now += 10_000_000_000L;
    recovered.flush();

    assertThat(recovered.pendingCount()).isZero();
    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookupResult.of("v1"));
  }

  @Test
  void shouldReplaceThePinOfAWithdrawnVersion() {
    TableSessionPins pins = pins(true);
    pins.pin("team", "s", V1, false);
    pins.pin("team", "s", V2, true);

    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookupResult.of("v2"));
  }

  @Test
  void shouldAskOtherEntriesWhileTheStoreIsDownDuringARollout() {
    TableSessionPins first = pins(true);
    first.pin("team", "s", V1, false);
    peers = first::cachedVersion;
    TableSessionPins second = pins(true);
    table.faults().down(true);

    assertThat(second.find("team", "s", "small")).isEqualTo(PinLookupResult.of("v1"));
  }

  @Test
  void shouldReportUnknownPinWhileTheStoreIsDownDuringARollout() {
    table.faults().down(true);

    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookupResult.UNKNOWN);
  }

  @Test
  void shouldReportNoPinIfTheStoreHasNoRow() {
    assertThat(pins(true).find("team", "s", "small")).isEqualTo(PinLookupResult.NONE);
  }

  @Test
  void shouldReportNoPinWhileTheStoreIsDownWithoutARollout() {
    table.faults().down(true);

    assertThat(pins(false).find("team", "s", "small")).isEqualTo(PinLookupResult.NONE);
  }

  private long now;
  private PeerPinLookup peers = PeerPinLookup.NONE;

  private TableSessionPins pins(boolean inRollout) {
    Ticker ticker =
        new Ticker() {
          @Override
          public long read() {
            return now;
          }
        };
    return new TableSessionPins(table, model -> inRollout, peers, ticker);
  }
}
