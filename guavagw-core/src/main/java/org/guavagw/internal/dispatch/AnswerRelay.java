package org.guavagw.internal.dispatch;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.guavagw.RunState;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.chat.AnswerHead;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineHello;
import org.guavagw.internal.engine.EngineRequest;
import org.guavagw.internal.engine.EngineStream;
import org.guavagw.internal.engine.Usage;
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.placement.BackendViews;

/**
 * Passes one answer from a backend server to a sink, taking up a cut stream where the backend
 * server can resume it. Thread-safe; each call is confined to its thread.
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
   * One answer to be relayed. Immutable.
   *
   * @param mayRelease asked before the first chunk is passed on
   */
  record Job(
      BackendServerConfig server,
      EngineRequest request,
      AnswerHead head,
      AnswerSink sink,
      BooleanSupplier mayRelease) {
    BackendAddress address() {
      return new BackendAddress(server.id(), server.host(), server.port());
    }
  }

  /** Progress of one job; confined to its thread. */
  private static final class Progress {
    private int chunks;
    private Usage usage = Usage.NONE;
    private long firstByteNanos;
    private boolean begun;
  }

  /** Runs a job to its end. */
  RelayReport relay(Job job) {
    Progress progress = new Progress();
    long start = monotonic.read();
    AttemptResult result = readOnce(job, job.request(), progress);
    for (int i = 0; i < MAX_RESUMES && isResumable(job, result, progress); i++) {
      result = later(result, readOnce(job, resumed(job, start, progress), progress));
    }
    long firstByte = progress.chunks > 0 ? progress.firstByteNanos - start : 0;
    return new RelayReport(result, Duration.ofNanos(firstByte), progress.usage, progress.chunks);
  }

  /** What is known after a resumption; one that was not run does not undo what ran before. */
  private static AttemptResult later(AttemptResult earlier, AttemptResult resumption) {
    boolean notRun =
        resumption instanceof AttemptResult.Failed failed
            && failed.failure().runState() == RunState.NOT_RUN;
    return notRun ? earlier : resumption;
  }

  private EngineRequest resumed(Job job, long start, Progress progress) {
    EngineRequest first = job.request();
    Duration spent = Duration.ofNanos(monotonic.read() - start);
    Duration left = first.timeLeft().minus(spent);
    Duration atLeastOneMs = left.compareTo(Duration.ofMillis(1)) > 0 ? left : Duration.ofMillis(1);
    return new EngineRequest(first.requestId(), first.body(), atLeastOneMs, progress.chunks);
  }

  private static boolean isResumable(Job job, AttemptResult result, Progress progress) {
    if (!(result instanceof AttemptResult.Failed failed) || !job.server().resumesStreams()) {
      return false;
    }
    EngineFailure.Kind kind = failed.failure().kind();
    boolean cut = kind == EngineFailure.Kind.BROKEN || kind == EngineFailure.Kind.SILENT;
    return cut && progress.chunks > 0 && !job.sink().isCallerGone();
  }

  private AttemptResult readOnce(Job job, EngineRequest request, Progress progress) {
    Either<EngineFailure, EngineStream> opened = engines.open(job.address(), request);
    if (opened.isLeft()) {
      return new AttemptResult.Failed(opened.getLeft(), job.sink().hasBegun());
    }
    try (EngineStream stream = opened.get()) {
      EngineHello hello = stream.hello();
      int load = hello.running() + hello.waiting();
      views.onAnswerHeaders(job.server().id(), hello.bootId(), hello.cold(), load);
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
      if (chunk.end()) {
        job.sink().end(progress.usage);
        return new AttemptResult.Whole(new Answered(job.server().id(), progress.usage));
      }
      if (!pass(job, chunk, progress)) {
        stream.cancel();
        return cancelled(job);
      }
    }
  }

  private boolean pass(Job job, EngineChunk chunk, Progress progress) {
    if (!progress.begun) {
      progress.firstByteNanos = monotonic.read();
      if (!job.mayRelease().getAsBoolean()) {
        return false;
      }
      job.sink().begin(job.head());
      progress.begun = true;
    }
    progress.chunks++;
    progress.usage = chunk.usage().isKnown() ? chunk.usage() : progress.usage;
    job.sink().write(chunk);
    return !job.sink().isCallerGone();
  }

  private static AttemptResult cancelled(Job job) {
    EngineFailure failure =
        new EngineFailure(EngineFailure.Kind.CANCELLED, "the caller left or may not be answered");
    return new AttemptResult.Failed(failure, job.sink().hasBegun());
  }
}
