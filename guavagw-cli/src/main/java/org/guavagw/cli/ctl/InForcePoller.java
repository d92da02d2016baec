package org.guavagw.cli.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Streams;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Polls an entry until a revision is in force in all data centres known to it. Immutable. */
record InForcePoller(AdminClient client, long revision) {
  private static final long POLL_INTERVAL_MS = 200;

  Either<CtlFailure, List<String>> await(int seconds) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (true) {
      Either<CtlFailure, JsonNode> status = client.get("/admin/v1/status");
      if (status.isRight() && laggingDataCentres(status.get()).isEmpty()) {
        return Either.right(dataCentreNames(status.get()));
      }
      if (System.nanoTime() >= deadline || !pause()) {
        List<String> missing = status.isRight() ? laggingDataCentres(status.get()) : List.of("all");
        return Either.left(new CtlFailure.NotInForce(revision, missing));
      }
    }
  }

  private List<String> laggingDataCentres(JsonNode status) {
    if (status.path("dataCentres").isEmpty()) {
      return List.of("all: the entry has no summary yet");
    }
    return Streams.stream(status.path("dataCentres"))
        .filter(d -> d.path("lowestRevision").asLong() < revision)
        .map(d -> d.path("dataCentre").asText())
        .toList();
  }

  private static List<String> dataCentreNames(JsonNode status) {
    return Streams.stream(status.path("dataCentres"))
        .map(d -> d.path("dataCentre").asText())
        .toList();
  }

  private static boolean pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
