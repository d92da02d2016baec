package org.guavagw.internal.dispatch;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.guavagw.RunState;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.chat.AnswerMetadata;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineRequest;
import org.guavagw.internal.engine.EngineStatus;
import org.guavagw.internal.engine.EngineStream;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.placement.BackendViews;

/**
 * Relays one answer from a backend server to a sink and resumes an interrupted stream if the
 * backend server supports it. Thread-safe; each call is confined to its thread.
 */
final class AnswerRelay {
  private static final int MAX_RESUMES = 2;

  private final EngineClient engines;
  private final Ticker monotonic;
  private final BackendViews views;

  AnswerRelay(EngineClient engines, Ticker monotonic, BackendViews views) {
    this.engines = engines;
    this.monotonic = monotonic;
    this.views = views;
  }

  /**
   * An answer to relay. Immutable.
   *
   * @param awaitRelease called before the first chunk is passed on; returns whether the answer may
   *     start
   */
  record Job(
      BackendServerConfig server,
      EngineRequest request,
      AnswerMetadata metadata,
      AnswerSink sink,
      BooleanSupplier awaitRelease) {
    BackendAddress address() {
      return new BackendAddress(server.id(), server.host(), server.port());
    }
  }

  /** Progress of one job. Confined to its thread. */
  private static final class Progress {
    private int chunks;
    private TokenUsage usage = TokenUsage.UNKNOWN;
    private long firstByteNanos;
    private boolean started;
  }

  /** Runs a job until its answer is complete or has failed. */
  RelayReport relay(Job job) {
    Progress progress = new Progress();
    long start = monotonic.read();
    AttemptResult result = readStream(job, job.request(), progress);
    for (int i = 0; i < MAX_RESUMES && isResumable(job, result, progress); i++) {
      result = combine(result, readStream(job, resumeRequest(job, start, progress), progress));
    }
    long timeToFirstByte = progress.chunks > 0 ? progress.firstByteNanos - start : 0;
    return new RelayReport(
        result, Duration.ofNanos(timeToFirstByte), progress.usage, progress.chunks);
  }

  /**
   * Returns the result after a resumption. If the resumption was not run, the earlier result
   * stands, since the request may have run before.
   */
  private static AttemptResult combine(AttemptResult earlier, AttemptResult resumption) {
    boolean notRun =
        resumption instanceof AttemptResult.Failed failed
            && failed.failure().runState() == RunState.NOT_RUN;
    return notRun ? earlier : resumption;
  }

  private EngineRequest resumeRequest(Job job, long start, Progress progress) {
    EngineRequest first = job.request();
    Duration spent = Duration.ofNanos(monotonic.read() - start);
    Duration remaining = first.timeLeft().minus(spent);
    Duration timeLeft =
        remaining.compareTo(Duration.ofMillis(1)) > 0 ? remaining : Duration.ofMillis(1);
    return new EngineRequest(first.requestId(), first.body(), timeLeft, progress.chunks);
  }

  private static boolean isResumable(Job job, AttemptResult result, Progress progress) {
    if (!(result instanceof AttemptResult.Failed failed) || !job.server().resumesStreams()) {
      return false;
    }
    EngineFailure.Kind kind = failed.failure().kind();
    boolean interrupted = kind == EngineFailure.Kind.BROKEN || kind == EngineFailure.Kind.SILENT;
    return interrupted && progress.chunks > 0 && !job.sink().isCallerDisconnected();
  }

  private AttemptResult readStream(Job job, EngineRequest request, Progress progress) {
    Either<EngineFailure, EngineStream> opened = engines.open(job.address(), request);
    if (opened.isLeft()) {
      return new AttemptResult.Failed(opened.getLeft(), job.sink().hasBegun());
    }
    try (EngineStream stream = opened.get()) {
      EngineStatus status = stream.engineStatus();
      int load = status.running() + status.waiting();
      views.onAnswerHeaders(job.server().id(), status.bootId(), status.cold(), load);
      return readAll(job, stream, progress);
    }
  }

  private AttemptResult readAll(Job job, EngineStream stream, Progress progress) {
    while (true) {
      Either<EngineFailure, EngineChunk> next = stream.next();
      if (next.isLeft()) {
        return new AttemptResult.Failed(next.getLeft(), job.sink().hasBegun());
      }
      EngineChunk chunk = next.get();
      if (chunk.isEndMarker()) {
        job.sink().end(progress.usage);
        return new AttemptResult.Completed(new CompletedAnswer(job.server().id(), progress.usage));
      }
      if (!forward(job, chunk, progress)) {
        stream.cancel();
        return cancelled(job);
      }
    }
  }

  private boolean forward(Job job, EngineChunk chunk, Progress progress) {
    if (!progress.started) {
      progress.firstByteNanos = monotonic.read();
      if (!job.awaitRelease().getAsBoolean()) {
        return false;
      }
      job.sink().begin(job.metadata());
      progress.started = true;
    }
    progress.chunks++;
    progress.usage = chunk.usage().isKnown() ? chunk.usage() : progress.usage;
    job.sink().write(chunk);
    return !job.sink().isCallerDisconnected();
  }

  private static AttemptResult cancelled(Job job) {
    EngineFailure failure =
        new EngineFailure(
            EngineFailure.Kind.CANCELLED,
            "the caller disconnected or the answer was not allowed to start");
    return new AttemptResult.Failed(failure, job.sink().hasBegun());
  }
}
